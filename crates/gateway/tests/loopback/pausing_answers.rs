//! Answers of unknown length whose servers pause in them, for longer than their clients wait. A long one reaches its client
//! whole; one whose server hangs or breaks it off ends in time, without its beginning where possible.

use crate::rig::accept::accept;
use crate::rig::deployment::Deployment;
use crate::rig::framing::Framing;
use crate::rig::message::{pattern, read_head};
use crate::rig::received_answer::ReceivedAnswer;
use crate::rig::request::{idempotent_request, keyed_request, non_idempotent_request, with_client_timeout};
use std::io::{BufReader, Write};
use std::iter;
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Times for which clients wait for their answer.
const CLIENT_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_900)];
/// Time after the client timeout until which a client needs the beginning of a long answer, or another final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time in which a client waits for the next part of its answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of answers that are played at once.
const PARALLEL_PLAYS: usize = 16;
/// Number of times that a play is tried whose server is held up before it writes the head.
const MAX_TRIES: usize = 10;
/// Interval between the pieces of a steady part of an answer.
const STEADY_INTERVAL: Duration = Duration::from_millis(10);
/// Length of these pieces.
const STEADY_PIECE_BYTES: usize = 1_000;

/// A piece of an answer, and the pause of its server before it.
#[derive(Clone, Copy)]
struct Piece {
    pause: Duration,
    bytes: usize,
}

/// Returns a piece of an answer.
const fn piece(pause_ms: u64, bytes: usize) -> Piece {
    Piece { pause: Duration::from_millis(pause_ms), bytes }
}

/// An answer as its server writes it, and the client that waits for it.
#[derive(Clone)]
struct Play {
    name: &'static str,
    request: fn() -> String,
    client_timeout: Duration,
    framing: Framing,
    pieces: Vec<Piece>,
    ends: bool,
}

impl Play {
    /// Returns the length of the answer.
    fn length(&self) -> usize {
        self.pieces.iter().map(|piece| piece.bytes).sum()
    }

    /// Plays the answer, again if the machine holds its server up before the head for half of the client's time.
    fn run(&self) -> ReceivedAnswer {
        let in_time = iter::repeat_with(|| self.try_run()).take(MAX_TRIES).flatten().next();
        in_time.expect("a server writes its head in time")
    }

    /// Plays the answer at a gateway of its own. Returns `None` if the head was written late.
    fn try_run(&self) -> Option<ReceivedAnswer> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
        let mut client = TcpStream::connect(gateway.address).unwrap();
        client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let timeout_ms = self.client_timeout.as_millis() as u64;
        client.write_all(with_client_timeout(&(self.request)(), timeout_ms).as_bytes()).unwrap();
        let sent_at = Instant::now();
        let server = accept(&listener);
        thread::scope(|scope| {
            let serving = scope.spawn(|| self.serve(server));
            let answer = ReceivedAnswer::read(&mut BufReader::new(client), sent_at);
            drop(gateway);
            let head_written_at = serving.join().unwrap();
            (head_written_at < sent_at + self.client_timeout / 2).then_some(answer)
        })
    }

    /// Writes the answer. An error tells that the gateway has closed the connection. Returns when the head was written.
    fn serve(&self, mut server: TcpStream) -> Instant {
        read_head(&mut server);
        server.set_nodelay(true).unwrap();
        server.write_all(self.framing.head().as_bytes()).unwrap();
        let head_written_at = Instant::now();
        let body = pattern(self.length());
        let mut position = 0;
        for piece in &self.pieces {
            thread::sleep(piece.pause);
            let data = self.framing.encode(&body[position..position + piece.bytes]);
            if server.write_all(&data).is_err() {
                return head_written_at;
            }
            position += piece.bytes;
        }
        if self.ends {
            let _ = self.framing.end(&mut server);
        }
        let _ = std::io::copy(&mut server, &mut std::io::sink());
        head_written_at
    }
}

/// Returns plays of an answer of these pieces for all framings, classes and client timeouts.
fn plays(name: &'static str, pieces: &[Piece], ends: bool) -> Vec<Play> {
    let requests = [idempotent_request, || keyed_request("x"), || non_idempotent_request("x")];
    let mut plays = Vec::new();
    for framing in [Framing::Chunked, Framing::Close] {
        for request in requests {
            for client_timeout in CLIENT_TIMEOUTS {
                plays.push(Play { name, request, client_timeout, framing, pieces: pieces.to_vec(), ends });
            }
        }
    }
    plays
}

/// Plays answers, several at once, and returns what `fault` finds in what their clients get.
fn faults(plays: Vec<Play>, fault: fn(&Play, &ReceivedAnswer) -> Option<&'static str>) -> Vec<String> {
    let next = Mutex::new(plays.into_iter());
    let found = Mutex::new(Vec::new());
    let next_play = || next.lock().unwrap().next();
    let play_all = || {
        while let Some(play) = next_play() {
            let answer = play.run();
            if let Some(fault) = fault(&play, &answer) {
                let Play { name, framing, client_timeout, .. } = &play;
                let ReceivedAnswer { status, body, is_whole, began_after, ended_after, .. } = &answer;
                found.lock().unwrap().push(format!(
                    "{fault}: {name}, {framing:?}, {client_timeout:?}, {}: {status}, {} of {} bytes, whole \
                     {is_whole}, {began_after:?} to {ended_after:?}",
                    (play.request)().lines().next().unwrap(),
                    body.len(),
                    play.length()
                ));
            }
        }
    };
    thread::scope(|scope| {
        (0..PARALLEL_PLAYS).for_each(|_| {
            scope.spawn(play_all);
        });
    });
    found.into_inner().unwrap()
}

/// Returns what is wrong with a long answer: its client has to get its beginning in time and all of it in the end.
fn long_answer_fault(play: &Play, answer: &ReceivedAnswer) -> Option<&'static str> {
    if answer.status != 200 {
        Some("no answer")
    } else if !answer.is_whole {
        Some("cut off")
    } else if answer.body != pattern(play.length()) {
        Some("another answer")
    } else if answer.began_after > play.client_timeout + ANSWER_GRACE {
        Some("late beginning")
    } else {
        None
    }
}

#[test]
fn long_answer_whose_server_pauses_for_longer_than_its_client_waits_is_not_cut_off() {
    let steady = iter::repeat_n(Piece { pause: STEADY_INTERVAL, bytes: STEADY_PIECE_BYTES }, 30);
    let steady_then_lumps: Vec<Piece> = steady.chain([piece(1_700, 90_000), piece(1_700, 30_000)]).collect();
    let answers: [(&str, &[Piece]); 6] = [
        ("two lumps", &[piece(750, 75_000), piece(750, 75_000)]),
        ("small lumps", &[piece(880, 40_000), piece(880, 40_000), piece(880, 40_000)]),
        ("one late lump", &[piece(1_700, 160_000)]),
        ("a lump with the head", &[piece(0, 30_000), piece(1_700, 130_000)]),
        ("growing pauses", &[piece(150, 20_000), piece(900, 40_000), piece(1_700, 100_000)]),
        ("steady, then lumps", &steady_then_lumps),
    ];
    let plays = answers.into_iter().flat_map(|(name, pieces)| plays(name, pieces, true)).collect();
    let faults = faults(plays, long_answer_fault);
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against an answer that is passed on with nothing but its head and then ended for its first, small part.
#[test]
fn long_answer_that_goes_on_with_a_small_part_is_not_cut_off() {
    let client_timeout = Duration::from_millis(600);
    let plays = plays("a small part", &[piece(950, 1_000), piece(1_700, 150_000)], true);
    let plays = plays.into_iter().filter(|play| play.client_timeout == client_timeout).collect();
    let faults = faults(plays, long_answer_fault);
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Returns what is wrong with an answer whose server hangs: its client has to get another final answer in time.
fn hanging_answer_fault(play: &Play, answer: &ReceivedAnswer) -> Option<&'static str> {
    if !matches!(answer.status, 429 | 502) || !answer.is_whole {
        Some("no final answer")
    } else if answer.ended_after > play.client_timeout + ANSWER_GRACE {
        Some("late final answer")
    } else {
        None
    }
}

/// A server that stops in a short answer must not cost the client more than that answer.
#[test]
fn short_answer_whose_server_hangs_is_replaced_by_a_final_answer() {
    let answers: [(&str, &[Piece]); 4] = [
        ("a few bytes", &[piece(0, 4)]),
        ("two kilobytes", &[piece(0, 2_000)]),
        ("a few bytes late", &[piece(120, 4)]),
        ("a trickle", &[piece(0, 10), piece(100, 10), piece(100, 10), piece(300, 10)]),
    ];
    let mut all: Vec<Play> =
        answers.into_iter().flat_map(|(name, pieces)| plays(name, pieces, false)).collect();
    let known_length = |play: &Play| Play { framing: Framing::Length(play.length() + 1), ..play.clone() };
    let with_length: Vec<Play> =
        all.iter().filter(|play| play.framing == Framing::Chunked).map(known_length).collect();
    all.extend(with_length);
    let faults = faults(all, hanging_answer_fault);
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Returns what is wrong with a short answer that ends soon after the client timeout: it has to be whole, and not too late.
fn short_answer_fault(play: &Play, answer: &ReceivedAnswer) -> Option<&'static str> {
    if answer.ended_after > play.client_timeout + ANSWER_GRACE {
        return Some("late");
    }
    long_answer_fault(play, answer)
}

#[test]
fn short_answer_that_ends_soon_after_the_client_timeout_is_whole() {
    let client_timeout = Duration::from_millis(600);
    let pieces = [piece(100, 500), piece(600, 500)];
    let plays = plays("a short answer", &pieces, true);
    let in_time = plays.into_iter().filter(|play| play.client_timeout == client_timeout).collect();
    let faults = faults(in_time, short_answer_fault);
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}
