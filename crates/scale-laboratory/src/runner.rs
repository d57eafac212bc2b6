//! Plays an experiment point by point, keeps what was measured so far, and watches the run.

use crate::error::{LaboratoryError, Result};
use crate::experiment::{Experiment, Mode, SizedExperiment};
use crate::memory::check_estimate;
use crate::progress::Progress;
use crate::results::{Point, Run, RunStatus};
use crate::{core_cost, hollow, metrics, real};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::interval;

/// A run without any step for so long has failed.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);
/// How often the run's progress is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a cancelled run may take to end what it started.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);

/// Where results go and what real experiments start.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The folder of the run.
    pub folder: PathBuf,
    /// The gateway program.
    pub gateway_program: PathBuf,
}

/// What the thread that plays the points reports.
enum Message {
    /// A point was measured.
    Point(Point),
    /// The run ended.
    Ended(Result<()>),
}

/// Plays an experiment and writes its results.
pub fn run(experiment: Experiment, options: &RunOptions) -> Result<()> {
    check_estimate(&experiment)?;
    if experiment.mode == Mode::Real {
        real::check_program(&options.gateway_program)?;
    }
    let mut run = Run::new(experiment);
    run.write(&options.folder)?;
    let runtime = Runtime::new().map_err(|error| LaboratoryError::io("no runtime", error))?;
    let ended = runtime.block_on(watch(&mut run, options));
    // A hollow gateway that never returns must not keep the program from ending.
    runtime.shutdown_background();
    run.status = if ended.is_ok() { RunStatus::Complete } else { RunStatus::Failed };
    run.error = ended.as_ref().err().map(ToString::to_string);
    run.write(&options.folder)?;
    metrics::write(&run, &options.folder)?;
    ended
}

/// Plays the points on a thread of their own, and watches it.
async fn watch(run: &mut Run, options: &RunOptions) -> Result<()> {
    let progress = Progress::default();
    let mut messages = start(run, options, &progress);
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    let mut checks = interval(CHECK_INTERVAL);
    let mut watchdog = Watchdog::new(progress);
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Point(point)) => add_point(run, point, &options.folder)?,
                Some(Message::Ended(ended)) => return ended,
                None => return Err(LaboratoryError::Panicked),
            },
            _ = interrupt.recv() => watchdog.cancel(),
            _ = terminate.recv() => watchdog.cancel(),
            _ = checks.tick() => watchdog.check()?,
        }
    }
}

/// Starts the thread that plays the points.
fn start(run: &Run, options: &RunOptions, progress: &Progress) -> UnboundedReceiver<Message> {
    let (sender, messages) = unbounded_channel();
    let points = run.experiment.points();
    let progress = progress.clone();
    let program = options.gateway_program.clone();
    thread::spawn(move || {
        let ended = play(&points, &program, &progress, |point| drop(sender.send(Message::Point(point))));
        let _ = sender.send(Message::Ended(ended));
    });
    messages
}

/// Listens to a signal.
fn listen(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|error| LaboratoryError::io("signals cannot be listened to", error))
}

/// Adds a point to the results.
fn add_point(run: &mut Run, point: Point, folder: &Path) -> Result<()> {
    run.points.push(point);
    let done = run.points.len();
    let all = run.experiment.points().len();
    tracing::info!(experiment = run.experiment.name, done, all, "point measured");
    run.write(folder)
}

/// Plays all points.
fn play(
    points: &[SizedExperiment],
    program: &Path,
    progress: &Progress,
    mut measured: impl FnMut(Point),
) -> Result<()> {
    for SizedExperiment { size, experiment } in points {
        tracing::info!(experiment = experiment.name, size, "measuring");
        progress.step()?;
        measured(match experiment.mode {
            Mode::Core => core_cost::measure(experiment, *size, progress)?,
            Mode::Hollow => hollow::measure(experiment, *size, progress)?,
            Mode::Real => real::measure(experiment, *size, program, progress)?,
        });
    }
    Ok(())
}

/// Ends a run that makes no progress, or that does not end once it is cancelled.
struct Watchdog {
    /// Shared with the run.
    progress: Progress,
    /// Its steps when they were last checked.
    last_steps: u64,
    /// When they last grew.
    last_progress_at: Instant,
    /// When the run was cancelled.
    cancelled_at: Option<Instant>,
}

impl Watchdog {
    /// A watchdog of a run that begins.
    fn new(progress: Progress) -> Watchdog {
        Watchdog { progress, last_steps: 0, last_progress_at: Instant::now(), cancelled_at: None }
    }

    /// Cancels the run.
    fn cancel(&mut self) {
        tracing::warn!("interrupted; ending what was started");
        self.progress.cancel();
        self.cancelled_at = Some(Instant::now());
    }

    /// Fails if the run has to be given up.
    fn check(&mut self) -> Result<()> {
        if self.progress.steps() != self.last_steps {
            self.last_steps = self.progress.steps();
            self.last_progress_at = Instant::now();
        }
        let idle = self.last_progress_at.elapsed();
        if idle >= PROGRESS_TIMEOUT {
            return Err(LaboratoryError::NoProgress { seconds: idle.as_secs() });
        }
        if self.cancelled_at.is_some_and(|at| at.elapsed() >= CANCEL_TIMEOUT) {
            return Err(LaboratoryError::Interrupted);
        }
        Ok(())
    }
}
