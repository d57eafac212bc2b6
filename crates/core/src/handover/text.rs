//! The encoding of records in the hand-over text: numbers as words separated by spaces. Each state type
//! encodes its own fields by means of [`handover_record`], so that they can stay private.

use crate::api::Micros;
use std::str::SplitAsciiWhitespace;

/// The words of a line that have not been read yet.
pub(crate) type Words<'a> = SplitAsciiWhitespace<'a>;

/// Words of this length or longer, in bytes, are not read as numbers.
const MAX_WORD_LENGTH: usize = 300;

/// The shift from the clock of the process that wrote a text to the clock of the process that reads it. Each
/// clock starts from the wall clock at the start of its process, and the wall clock may have been stepped
/// between the two starts.
#[derive(Clone, Copy)]
pub(crate) struct ClockShift {
    /// Time at which the text was written, by the writer's clock.
    pub from: Micros,
    /// The same moment by the reader's clock.
    pub to: Micros,
}

impl ClockShift {
    /// Converts a time to the reader's clock. 0 stands for a time long past and stays unchanged.
    pub fn apply(self, time: &mut Micros) {
        if *time > 0 {
            *time = (self.to + *time).saturating_sub(self.from);
        }
    }
}

/// State that is handed over to the successor process.
pub(crate) trait HandoverRecord: Sized {
    /// Appends the record's numbers to the words of a line.
    fn write(&self, words: &mut Vec<String>);

    /// Reads the record from the next words of a line; `None` if one is missing or malformed.
    fn read(words: &mut Words<'_>) -> Option<Self>;

    /// Converts the times in the record to the reader's clock.
    fn shift(&mut self, _shift: ClockShift) {}
}

/// Returns whether a word can be a finite number. The text forms of infinity and NaN contain other bytes, and
/// a number below [`MAX_WORD_LENGTH`] is too short to overflow to infinity.
fn is_number(word: &str) -> bool {
    word.len() < MAX_WORD_LENGTH && word.bytes().all(|byte| byte.is_ascii_digit() || b".-".contains(&byte))
}

/// Implements [`HandoverRecord`] for numeric types.
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

/// An unknown time is written as 0.
impl HandoverRecord for Option<Micros> {
    fn write(&self, words: &mut Vec<String>) {
        words.push(self.unwrap_or(0).to_string());
    }

    fn read(words: &mut Words<'_>) -> Option<Self> {
        Some(Some(Micros::read(words)?).filter(|time| *time > 0))
    }
}

/// An unknown number is written as a dash.
impl HandoverRecord for Option<f64> {
    fn write(&self, words: &mut Vec<String>) {
        words.push(self.map_or("-".to_owned(), |number| number.to_string()));
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

/// A time field of a record, which [`handover_record`] converts to the reader's clock.
pub(crate) trait HandoverTime {
    /// Converts the time to the reader's clock.
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

/// Implements [`HandoverRecord`] for a struct. Takes the fields to hand over, in the order of the text, and
/// then those of them that hold times.
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
