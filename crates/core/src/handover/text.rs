//! The numbers of a record as words of the hand-over text. Each state type writes and reads its own fields,
//! through [`handover_record`], so that they can stay private to it.

use crate::api::Micros;
use std::str::SplitAsciiWhitespace;

/// The words of a line that are still to be read.
pub(crate) type Words<'a> = SplitAsciiWhitespace<'a>;

/// Longest word that can be a number.
const MAX_WORD_LENGTH: usize = 300;

/// From the clock of the process that wrote a text to that of the one which reads it: each counts from the
/// wall clock as it stood when the process began, and that may have been stepped between the two.
#[derive(Clone, Copy)]
pub(crate) struct ClockShift {
    /// When the text was written, by the writer's clock.
    pub from: Micros,
    /// The same moment by the reader's clock.
    pub to: Micros,
}

impl ClockShift {
    /// Brings a time to the reader's clock; 0 stays what it is, long past.
    pub fn apply(self, time: &mut Micros) {
        if *time > 0 {
            *time = (self.to + *time).saturating_sub(self.from);
        }
    }
}

/// A part of the state that is handed over to the next process.
pub(crate) trait HandoverRecord: Sized {
    /// Appends its numbers.
    fn write(&self, words: &mut Vec<String>);

    /// Reads its numbers; `None` if one is missing or malformed.
    fn read(words: &mut Words<'_>) -> Option<Self>;

    /// Brings its times to the reader's clock.
    fn shift(&mut self, _shift: ClockShift) {}
}

/// Whether a word can be a number; none that is not finite has only these bytes and so few of them.
fn is_number(word: &str) -> bool {
    word.len() < MAX_WORD_LENGTH && word.bytes().all(|byte| byte.is_ascii_digit() || b".-".contains(&byte))
}

/// Implements [`HandoverRecord`] for types of numbers.
macro_rules! number_record {
    ($($number:ty),+) => {
        $(impl HandoverRecord for $number {
            fn write(&self, words: &mut Vec<String>) {
                words.push(self.to_string());
            }

            fn read(words: &mut Words<'_>) -> Option<Self> {
                words.next().filter(|word| is_number(word))?.parse().ok()
            }
        })+
    };
}

number_record!(f64, u32, u64, usize);

/// A time that may be unknown, which is written as 0.
impl HandoverRecord for Option<Micros> {
    fn write(&self, words: &mut Vec<String>) {
        words.push(self.unwrap_or(0).to_string());
    }

    fn read(words: &mut Words<'_>) -> Option<Self> {
        Some(Some(Micros::read(words)?).filter(|time| *time > 0))
    }
}

/// A figure that may be unknown, which is written as a dash.
impl HandoverRecord for Option<f64> {
    fn write(&self, words: &mut Vec<String>) {
        words.push(self.map_or("-".to_owned(), |figure| figure.to_string()));
    }

    fn read(words: &mut Words<'_>) -> Option<Self> {
        match words.clone().next()? {
            "-" => {
                words.next();
                Some(None)
            }
            _ => f64::read(words).map(Some),
        }
    }
}

/// A field that holds a time, so that [`handover_record`] can shift it.
pub(crate) trait HandoverTime {
    /// Brings the time to the reader's clock.
    fn shift_by(&mut self, shift: ClockShift);
}

impl HandoverTime for Micros {
    fn shift_by(&mut self, shift: ClockShift) {
        shift.apply(self);
    }
}

impl HandoverTime for Option<Micros> {
    fn shift_by(&mut self, shift: ClockShift) {
        if let Some(time) = self {
            shift.apply(time);
        }
    }
}

/// Implements [`HandoverRecord`] for a type: the fields in the order of the text, and those of them that are
/// times.
macro_rules! handover_record {
    ($record:ident { $($field:ident),+ $(,)? } times { $($time:ident),* $(,)? }) => {
        impl $crate::handover::text::HandoverRecord for $record {
            fn write(&self, words: &mut Vec<String>) {
                $($crate::handover::text::HandoverRecord::write(&self.$field, words);)+
            }

            fn read(words: &mut $crate::handover::text::Words<'_>) -> Option<Self> {
                let mut record = $record::default();
                $(record.$field = $crate::handover::text::HandoverRecord::read(words)?;)+
                Some(record)
            }

            fn shift(&mut self, shift: $crate::handover::text::ClockShift) {
                $($crate::handover::text::HandoverRecord::shift(&mut self.$field, shift);)+
                $($crate::handover::text::HandoverTime::shift_by(&mut self.$time, shift);)*
            }
        }
    };
}

pub(crate) use handover_record;
