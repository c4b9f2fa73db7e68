package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.admission.AdmissionControl;
import org.gypsumflow.command.admission.AdmissionControl.Change;
import org.gypsumflow.command.admission.AdmissionControl.Rejection;
import org.gypsumflow.command.admission.AdmissionControl.Turn;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.traffic.JobHandovers.Submission;

/**
 * Lets new jobs wait beside the traffic thread and takes few of them at a time, so that this thread handles what its
 * connections have received before it takes more.
 *
 * <p>Jobs are added, and the published values are read, on any thread; everything else is confined to the traffic thread.
 */
final class JobAdmission {
    /** Time until the next turn while the limit on jobs is reached; jobs end more often than this. */
    private static final Duration TURN_DELAY_AT_LIMIT = Duration.ofMillis(20);

    private static final String REJECTED = "jobs_rejected";
    private static final String OVERLOADED = "this host has more jobs than it can start in time";

    private final SerialExecutor executor;
    private final TimeSource time;
    private final EventLog events;
    private final DecisionCounter counter;
    private final IntSupplier activeJobs;
    private final Predicate<JobId> maybeKnown;
    private final Consumer<Submission> intake;
    private final BiConsumer<Submission, BestEffortOutcome> completer;
    private final AdmissionControl<Submission> control;
    private final Queue<Submission> arrivals = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean arrivalsSignalled = new AtomicBoolean();
    private boolean turnScheduled;
    private boolean requestDelayRecorded;
    private volatile Map<RouteName, Duration> longestWaits = Map.of();
    private volatile Duration publishedDelay = Duration.ZERO;
    private volatile int publishedLimit = Integer.MAX_VALUE;

    /**
     * Creates the admission of an entry that is not overloaded.
     *
     * @param activeJobs returns the number of jobs taken on and without an outcome
     * @param maybeKnown returns whether a job may have been sent before, so that it must not be rejected as not run
     * @param intake takes on a job
     * @param completer passes the outcome of a rejected job to its caller
     */
    JobAdmission(
            SerialExecutor executor,
            TimeSource time,
            EventLog events,
            DecisionCounter counter,
            IntSupplier activeJobs,
            Predicate<JobId> maybeKnown,
            Consumer<Submission> intake,
            BiConsumer<Submission, BestEffortOutcome> completer) {
        this.executor = executor;
        this.time = time;
        this.events = events;
        this.counter = counter;
        this.activeJobs = activeJobs;
        this.maybeKnown = maybeKnown;
        this.intake = intake;
        this.completer = completer;
        this.control =
                AdmissionControl.create(submission -> submission.disconnected().isDone(), time.nanoTime());
    }

    /** Adds a job that has arrived; called on any thread. */
    void submit(Submission submission) {
        arrivals.add(submission);
        if (arrivalsSignalled.compareAndSet(false, true)) {
            executor.execute(this::takeArrivals);
        }
    }

    /** Lets a job wait for its turn that was held back since it arrived. */
    void add(Submission submission) {
        control.add(submission, submission.job(), submission.submittedNanos());
        scheduleTurn(Duration.ZERO);
    }

    /** Completes the submissions of a job that wait for their turn; returns whether any did. */
    boolean giveUp(JobId job, BestEffortOutcome outcome) {
        List<Submission> given =
                control.remove(submission -> submission.job().id().equals(job));
        given.forEach(submission -> completer.accept(submission, outcome));
        return !given.isEmpty();
    }

    /** Returns whether a job waits for its turn. */
    boolean isWaiting(JobId job) {
        return control.isWaiting(submission -> submission.job().id().equals(job));
    }

    /** Returns whether any job waits for its turn. */
    boolean hasWaiting() {
        return control.hasWaiting();
    }

    /** Returns whether a request has waited too long, by what was last published; called on any thread. */
    boolean isTooLate(RouteName route, long arrivedNanos) {
        Duration longestWait = longestWaits.get(route);
        return longestWait != null && time.nanoTime() - arrivedNanos > longestWait.toNanos();
    }

    /** Returns the outcome of a request that is rejected before it is parsed; empty if its job may have been sent before. */
    Optional<BestEffortOutcome> rejectUnparsed(JobId job) {
        if (maybeKnown.test(job)) {
            return Optional.empty();
        }
        counter.increment(REJECTED, "too_late_unparsed");
        control.rejectedUnparsed(time.nanoTime());
        return Optional.of(BestEffortOutcome.notRun(OVERLOADED, control.retryAfter(job)));
    }

    /** Records how late a timer of the traffic thread ran; requests tell more if there are any. */
    void timerRan(Duration late) {
        if (!requestDelayRecorded) {
            recordDelay(late);
        }
        requestDelayRecorded = false;
    }

    /** Returns the measured standing delay; called on any thread. */
    Duration standingDelay() {
        return publishedDelay;
    }

    /** Returns the present limit on jobs; called on any thread. */
    int limit() {
        return publishedLimit;
    }

    private void takeArrivals() {
        arrivalsSignalled.set(false);
        for (Submission arrival = arrivals.poll(); arrival != null; arrival = arrivals.poll()) {
            if (control.isOverloaded()) {
                recordWaitOf(arrival);
            }
            if (maybeKnown.test(arrival.job().id())) {
                intake.accept(arrival);
            } else {
                add(arrival);
            }
        }
    }

    private void recordWaitOf(Submission submission) {
        recordDelay(Duration.ofNanos(time.nanoTime() - submission.submittedNanos()));
        requestDelayRecorded = true;
    }

    private void recordDelay(Duration late) {
        long nowNanos = time.nanoTime();
        Optional<Change> change = control.recordDelay(late, activeJobs.getAsInt(), nowNanos);
        publishedDelay = control.standingDelay(nowNanos);
        publishedLimit = control.limit();
        if (control.isOverloaded() || change.isPresent()) {
            longestWaits = control.longestWaits();
        }
        change.ifPresent(this::logChange);
    }

    private void logChange(Change change) {
        if (change.began()) {
            events.write(Event.OVERLOAD_BEGAN, change.delay().toMillis(), activeJobs.getAsInt(), change.limit());
        } else {
            events.write(
                    Event.OVERLOAD_ENDED,
                    change.duration().toMillis(),
                    change.rejected(),
                    change.delay().toMillis());
        }
    }

    private void scheduleTurn(Duration delay) {
        if (!turnScheduled) {
            turnScheduled = true;
            executor.schedule(delay, this::takeTurn);
        }
    }

    private void takeTurn() {
        turnScheduled = false;
        Turn<Submission> turn = control.takeTurn(activeJobs.getAsInt(), time.nanoTime());
        if (!control.isOverloaded()) {
            // Under overload requests wait for their turn by decision, which says nothing about the processor.
            turn.admitted().forEach(this::recordWaitOf);
        }
        turn.rejected().forEach(this::reject);
        turn.admitted().forEach(intake);
        if (control.hasWaiting()) {
            scheduleTurn(turn.limitReached() ? TURN_DELAY_AT_LIMIT : Duration.ZERO);
        }
    }

    private void reject(Rejection<Submission> rejection) {
        Submission submission = rejection.request();
        JobId job = submission.job().id();
        if (maybeKnown.test(job)) {
            intake.accept(submission);
            return;
        }
        counter.increment(REJECTED, rejection.cause().label());
        completer.accept(submission, BestEffortOutcome.notRun(OVERLOADED, control.retryAfter(job)));
    }
}
