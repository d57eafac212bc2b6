//! Runs an experiment point by point, stores each point's results and aborts a run that makes no progress.

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

/// Longest time without a step of progress; a run that exceeds it fails.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between two checks of a run's progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time that a cancelled run may take to stop what it started.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);

/// Results folder and gateway program of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Results folder of the run.
    pub folder: PathBuf,
    /// Gateway program, which real mode starts.
    pub gateway_program: PathBuf,
}

/// Report from the thread that measures the points.
enum Message {
    /// Measurements of one point.
    Point(Point),
    /// Outcome of the run, sent last.
    Finished(Result<()>),
}

/// Runs an experiment and writes its results and metrics.
pub fn run(experiment: Experiment, options: &RunOptions) -> Result<()> {
    check_estimate(&experiment)?;
    if experiment.mode == Mode::Real {
        real::check_program(&options.gateway_program)?;
    }
    let mut run = Run::new(experiment);
    run.write(&options.folder)?;
    let runtime = Runtime::new()
        .map_err(|error| LaboratoryError::io("cannot start the asynchronous runtime", error))?;
    let outcome = runtime.block_on(supervise(&mut run, options));
    // Does not wait for tasks: a hollow gateway that never returns must not keep the program from ending.
    runtime.shutdown_background();
    run.status = if outcome.is_ok() { RunStatus::Complete } else { RunStatus::Failed };
    run.error = outcome.as_ref().err().map(ToString::to_string);
    run.write(&options.folder)?;
    metrics::write(&run, &options.folder)?;
    outcome
}

/// Measures the points on a thread of their own, stores what it reports, and handles signals and timeouts.
async fn supervise(run: &mut Run, options: &RunOptions) -> Result<()> {
    let progress = Progress::default();
    let mut messages = spawn_measurements(run, options, &progress);
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut checks = interval(CHECK_INTERVAL);
    let mut watchdog = Watchdog::new(progress);
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Point(point)) => add_point(run, point, &options.folder)?,
                Some(Message::Finished(outcome)) => return outcome,
                None => return Err(LaboratoryError::Panicked),
            },
            _ = interrupt.recv() => watchdog.cancel(),
            _ = terminate.recv() => watchdog.cancel(),
            _ = checks.tick() => watchdog.check()?,
        }
    }
}

/// Starts the thread that measures the points, and returns the receiver of its reports.
fn spawn_measurements(run: &Run, options: &RunOptions, progress: &Progress) -> UnboundedReceiver<Message> {
    let (sender, messages) = unbounded_channel();
    let points = run.experiment.points();
    let progress = progress.clone();
    let program = options.gateway_program.clone();
    thread::spawn(move || {
        let outcome =
            measure_points(&points, &program, &progress, |point| drop(sender.send(Message::Point(point))));
        let _ = sender.send(Message::Finished(outcome));
    });
    messages
}

/// Returns the stream of a signal's deliveries.
fn signal_stream(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|error| LaboratoryError::io("cannot install a signal handler", error))
}

/// Adds a point to the run and writes the results.
fn add_point(run: &mut Run, point: Point, folder: &Path) -> Result<()> {
    run.points.push(point);
    let done = run.points.len();
    let all = run.experiment.points().len();
    tracing::info!(experiment = run.experiment.name, done, all, "point measured");
    run.write(folder)
}

/// Measures all points and passes each to `report`.
fn measure_points(
    points: &[SizedExperiment],
    program: &Path,
    progress: &Progress,
    mut report: impl FnMut(Point),
) -> Result<()> {
    for SizedExperiment { size, experiment } in points {
        tracing::info!(experiment = experiment.name, size, "measuring a point");
        progress.step()?;
        report(match experiment.mode {
            Mode::Core => core_cost::measure(experiment, *size, progress)?,
            Mode::Hollow => hollow::measure(experiment, *size, progress)?,
            Mode::Real => real::measure(experiment, *size, program, progress)?,
        });
    }
    Ok(())
}

/// Detects a run that makes no progress, or that does not stop in time once it is cancelled.
struct Watchdog {
    /// Progress shared with the run.
    progress: Progress,
    /// Number of steps at the last check.
    last_steps: u64,
    /// Time of the last check that found new steps.
    last_progress_at: Instant,
    /// Time of the last cancellation.
    cancelled_at: Option<Instant>,
}

impl Watchdog {
    /// Creates the watchdog of a run that starts now.
    fn new(progress: Progress) -> Watchdog {
        Watchdog { progress, last_steps: 0, last_progress_at: Instant::now(), cancelled_at: None }
    }

    /// Cancels the run and starts the timeout for its end.
    fn cancel(&mut self) {
        tracing::warn!("run interrupted; stopping what it started");
        self.progress.cancel();
        self.cancelled_at = Some(Instant::now());
    }

    /// Returns an error if the run exceeded the time allowed without progress or after its cancellation.
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
