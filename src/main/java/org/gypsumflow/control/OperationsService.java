package org.gypsumflow.control;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.ClaimStreamOwnership;
import org.gypsumflow.command.ConfigurationChange.CloseZone;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.OperationRecord.ConfirmationSubmitted;
import org.gypsumflow.command.OperationRecord.PlanProposed;
import org.gypsumflow.command.OperationRecord.StateSnapshot;
import org.gypsumflow.command.OperationRecord.StepCompleted;
import org.gypsumflow.command.OperationsState;
import org.gypsumflow.command.Plan;
import org.gypsumflow.command.PlanState;
import org.gypsumflow.command.PlanState.Status;
import org.gypsumflow.command.Planner;
import org.gypsumflow.command.Planner.WorkerSnapshot;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.ValidationException;

/**
 * Creates plans from operators' intents, confirms them, and reports when their changes are applied everywhere.
 *
 * <p>Every change goes through the operations stream; what the stream says after a read decides. The state of this
 * class is confined to the control thread.
 */
public final class OperationsService {
    /** Time after which a confirmation whose outcome cannot be read from the log fails. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    /** Added to the maximum configuration age before agents that cannot be reached count as stopped. */
    private static final Duration SELF_STOP_MARGIN = Duration.ofSeconds(1);

    /** Name of the step that is recorded when a plan's change is applied everywhere. */
    public static final String APPLIED_STEP_NAME = "in force";

    private final EntryControl control;
    private final SerialExecutor controlExecutor;
    private final TimeSource time;
    private final ControlSettings settings;
    private final TypedLog<OperationRecord> log;
    private final RandomGenerator random;
    private final EventLog events;
    private final Set<PlanId> reportedPlans = new HashSet<>();
    private boolean appendingSnapshot;
    private boolean stopped;

    private OperationsService(
            EntryControl control,
            SerialExecutor controlExecutor,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> log,
            RandomGenerator random,
            EventLog events) {
        this.control = control;
        this.controlExecutor = controlExecutor;
        this.time = time;
        this.settings = settings;
        this.log = log;
        this.random = random;
        this.events = events;
    }

    /**
     * Creates the service; {@link #start} starts its periodic work.
     *
     * @param control control state of this entry
     * @param controlExecutor serial executor of the control thread
     * @param time clocks
     * @param settings intervals and timeouts
     * @param log operations stream: plans, confirmations, steps, snapshots
     * @param random source of plan ids and confirmation nonces
     * @param events receives events about plans and snapshots
     * @return the service
     */
    public static OperationsService create(
            EntryControl control,
            SerialExecutor controlExecutor,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> log,
            RandomGenerator random,
            EventLog events) {
        return new OperationsService(control, controlExecutor, time, settings, log, random, events);
    }

    /**
     * Starts to report accepted plans as applied, and to append state snapshots before the log's retention deletes
     * records.
     */
    public void start() {
        controlExecutor.execute(
                () -> controlExecutor.scheduleWithFixedDelay(settings.heartbeatInterval(), this::runPeriodicWork));
    }

    /** Stops all periodic work. */
    public void stop() {
        controlExecutor.execute(() -> stopped = true);
    }

    /**
     * Creates a plan and appends it to the operations stream; it changes nothing before it is confirmed.
     *
     * @param intent intent as the operator wrote it, such as {@code drain ZONE}
     * @param operator operator who requests the plan
     * @return completes with the plan, or exceptionally with a {@link org.gypsumflow.model.RequestException} if the log
     *     is unavailable or a {@link ValidationException} if the intent is invalid
     */
    public CompletableFuture<Plan> createPlan(String intent, Operator operator) {
        return control.refreshOperations()
                .handle((nothing, failure) -> failure)
                .thenCompose(failure -> failure == null
                        ? record(intent, operator)
                        : CompletableFuture.failedFuture(logUnavailable("no plan was made")));
    }

    /**
     * Confirms a plan, so that its change takes effect.
     *
     * @param id id of the plan
     * @param operator operator who confirms the plan
     * @param override true to allow a plan that closes the last capacity of a service
     * @return completes with the accepted plan, or exceptionally with a {@link org.gypsumflow.model.RequestException}
     */
    public CompletableFuture<PlanState> confirmPlan(PlanId id, Operator operator, boolean override) {
        CompletableFuture<PlanState> result = new CompletableFuture<>();
        control.refreshOperations()
                .whenComplete((nothing, failure) -> controlExecutor.execute(() -> {
                    if (failure != null) {
                        result.completeExceptionally(logUnavailable("plan \"" + id + "\" is not confirmed"));
                        return;
                    }
                    confirmNow(id, operator, override, result);
                }));
        result.whenComplete((state, failure) -> {
            if (failure != null) {
                events.write(Event.CONFIRMATION_REJECTED, id, operator, failure.getMessage());
            } else {
                events.write(Event.PLAN_ACCEPTED, id, operator, state.version());
            }
        });
        return result;
    }

    private CompletableFuture<Plan> record(String intent, Operator operator) {
        EntrySnapshot snapshot = control.snapshot();
        PlanId id = PlanId.of(randomId());
        Plan plan;
        try {
            plan = Planner.createPlan(
                    id,
                    intent,
                    operator,
                    snapshot.operations(),
                    workerSnapshots(snapshot),
                    time.currentTimeMillis(),
                    settings.planLifetime());
        } catch (ValidationException invalid) {
            return CompletableFuture.failedFuture(invalid);
        }
        return TypedLogReader.withTimeout(controlExecutor, settings.logTimeout(), log.append(new PlanProposed(plan)))
                .handle((appendResult, failure) -> {
                    if (failure != null) {
                        throw logUnavailable("plan \"" + id + "\" may not have been recorded; create another plan");
                    }
                    events.write(Event.PLAN_PROPOSED, id, operator, intent);
                    return plan;
                })
                .thenCompose(createdPlan -> control.refreshOperations().handle((nothing, failure) -> createdPlan));
    }

    private String randomId() {
        return String.format("%08x", random.nextInt());
    }

    private static List<WorkerSnapshot> workerSnapshots(EntrySnapshot snapshot) {
        return snapshot.workers().values().stream()
                .filter(worker -> !worker.draining())
                .map(worker -> new WorkerSnapshot(
                        worker.worker(), worker.zone(), worker.service(), worker.slots(), worker.runningTasks()))
                .toList();
    }

    private void confirmNow(PlanId id, Operator operator, boolean override, CompletableFuture<PlanState> result) {
        Optional<RequestError> error = validateConfirmation(id, override);
        if (error.isPresent()) {
            result.completeExceptionally(error.get().toException());
            return;
        }
        ConfirmationSubmitted confirmation =
                new ConfirmationSubmitted(id, operator, randomId(), override, time.currentTimeMillis());
        zoneClosedBy(id).ifPresent(control::addPendingClosure);
        append(confirmation, time.nanoTime() + CONFIRMATION_TIMEOUT.toNanos(), result);
    }

    private Optional<RequestError> validateConfirmation(PlanId id, boolean override) {
        OperationsState state = control.snapshot().operations();
        Optional<PlanState> found = state.plan(id);
        if (found.isEmpty()) {
            return Optional.of(RequestError.notRun(ErrorCode.NOT_FOUND, "plan \"" + id + "\" does not exist"));
        }
        PlanState plan = found.get();
        if (plan.status() == Status.ACCEPTED) {
            return Optional.of(RequestError.notRun(
                    ErrorCode.CONFLICT, "plan \"" + id + "\" was already confirmed by \"" + plan.confirmedBy() + "\""));
        }
        if (plan.status() == Status.VOID) {
            return Optional.of(voidPlanError(plan));
        }
        if (time.currentTimeMillis() > plan.plan().expiresAtMillis()) {
            return Optional.of(
                    RequestError.notRun(ErrorCode.CONFLICT, "plan \"" + id + "\" has expired; create another plan"));
        }
        Optional<OperationsState.LastChange> conflict = state.conflictingChange(plan.plan());
        if (conflict.isPresent()) {
            return Optional.of(RequestError.notRun(
                    ErrorCode.CONFLICT,
                    "plan \"" + id + "\" is void: plan \"" + conflict.get().plan() + "\" confirmed by \""
                            + conflict.get().operator() + "\" changed "
                            + plan.plan().change().subject() + " first"));
        }
        if (plan.plan().needsOverride() && !override) {
            return Optional.of(RequestError.notRun(
                    ErrorCode.OVERRIDE_NEEDED,
                    "plan \"" + id + "\" closes the last capacity of a service; confirm it with the override flag"));
        }
        if (control.isPartitioned()) {
            return Optional.of(RequestError.notRun(
                    ErrorCode.CUT_OFF,
                    "this entry is connected to too few other entries to confirm a plan; use another entry"));
        }
        return Optional.empty();
    }

    private void append(ConfirmationSubmitted confirmation, long deadlineNanos, CompletableFuture<PlanState> result) {
        TypedLogReader.withTimeout(controlExecutor, settings.logTimeout(), log.append(confirmation))
                .handle((appendResult, failure) -> control.refreshOperations())
                .thenCompose(refreshed -> refreshed)
                .whenComplete((nothing, failure) ->
                        controlExecutor.execute(() -> resolveConfirmation(confirmation, deadlineNanos, result)));
    }

    /** Reads the outcome from the log, since the response to an append may be lost after the record was stored. */
    private void resolveConfirmation(
            ConfirmationSubmitted confirmation, long deadlineNanos, CompletableFuture<PlanState> result) {
        PlanState state = control.snapshot()
                .operations()
                .plan(confirmation.plan())
                .filter(plan -> plan.status() != Status.PROPOSED)
                .orElse(null);
        if (state != null) {
            zoneClosedBy(confirmation.plan()).ifPresent(control::removePendingClosure);
            completeWith(state, confirmation, result);
            return;
        }
        if (time.nanoTime() - deadlineNanos >= 0) {
            zoneClosedBy(confirmation.plan()).ifPresent(this::removePendingClosureOnceRead);
            result.completeExceptionally(RequestError.mayHaveRun(
                            ErrorCode.LOG_UNAVAILABLE,
                            "the platform's log did not respond; plan \"" + confirmation.plan()
                                    + "\" may have been confirmed; query the plan for its outcome")
                    .toException());
            return;
        }
        controlExecutor.schedule(RETRY_DELAY, () -> append(confirmation, deadlineNanos, result));
    }

    /** Returns the zone that a plan closes, or empty if the plan makes another change or is unknown. */
    private Optional<AvailabilityZone> zoneClosedBy(PlanId id) {
        return control.snapshot()
                .operations()
                .plan(id)
                .map(state -> state.plan().change())
                .filter(CloseZone.class::isInstance)
                .map(change -> ((CloseZone) change).zone());
    }

    /**
     * Keeps the closure of a zone pending until the log has been read, which shows whether the closure was appended.
     */
    private void removePendingClosureOnceRead(AvailabilityZone zone) {
        control.refreshOperations()
                .whenComplete((nothing, failure) -> controlExecutor.execute(() -> {
                    if (failure == null) {
                        control.removePendingClosure(zone);
                    } else if (!stopped) {
                        controlExecutor.schedule(RETRY_DELAY, () -> removePendingClosureOnceRead(zone));
                    }
                }));
    }

    private static void completeWith(
            PlanState state, ConfirmationSubmitted confirmation, CompletableFuture<PlanState> result) {
        boolean isOwnConfirmation = state.confirmationNonce().equals(confirmation.nonce());
        if (isOwnConfirmation && state.status() == Status.ACCEPTED) {
            result.complete(state);
            return;
        }
        RequestError error = state.status() == Status.VOID
                ? voidPlanError(state)
                : RequestError.notRun(
                        ErrorCode.CONFLICT,
                        "plan \"" + state.plan().id() + "\" was confirmed by \"" + state.confirmedBy() + "\" first");
        result.completeExceptionally(error.toException());
    }

    private static RequestError voidPlanError(PlanState state) {
        return RequestError.notRun(
                ErrorCode.CONFLICT, "plan \"" + state.plan().id() + "\" is void: " + state.voidReason());
    }

    private static RuntimeException logUnavailable(String consequence) {
        return RequestError.notRun(ErrorCode.LOG_UNAVAILABLE, "the platform's log does not respond; " + consequence)
                .toException();
    }

    private boolean runPeriodicWork() {
        if (stopped) {
            return false;
        }
        EntrySnapshot snapshot = control.snapshot();
        if (snapshot.ready()) {
            snapshot.operations().plans().values().stream()
                    .filter(state -> state.status() == Status.ACCEPTED)
                    .filter(state ->
                            state.steps().stream().noneMatch(step -> step.name().equals(APPLIED_STEP_NAME)))
                    .forEach(state -> reportIfApplied(snapshot, state));
            appendSnapshotIfDue(snapshot);
        }
        return true;
    }

    private void reportIfApplied(EntrySnapshot snapshot, PlanState state) {
        PlanId id = state.plan().id();
        int hash = Math.floorMod(id.hashCode(), Integer.MAX_VALUE);
        boolean isOwner = ClaimStreamOwnership.ownerOf(hash, snapshot.entriesInService())
                .filter(snapshot.self()::equals)
                .isPresent();
        if (!isOwner || reportedPlans.contains(id)) {
            return;
        }
        List<String> outdatedWorkers = snapshot.workers().values().stream()
                .filter(worker -> state.version().isAfter(worker.configurationVersion()))
                .map(worker -> worker.worker().value())
                .sorted()
                .toList();
        long selfStopMillis = state.confirmedAtMillis()
                + settings.maxConfigurationAge().plus(SELF_STOP_MARGIN).toMillis();
        int acknowledged = snapshot.workers().size() - outdatedWorkers.size();
        if (outdatedWorkers.isEmpty() && acknowledged > 0) {
            appendAppliedStep(
                    id, acknowledged + " of " + acknowledged + " agents acknowledged version " + state.version());
        } else if (time.currentTimeMillis() > selfStopMillis) {
            appendAppliedStep(
                    id,
                    acknowledged + " of " + snapshot.workers().size() + " agents acknowledged version "
                            + state.version()
                            + "; every other agent started nothing from "
                            + Instant.ofEpochMilli(selfStopMillis) + " on: " + String.join(", ", outdatedWorkers));
        }
    }

    private void appendAppliedStep(PlanId id, String detail) {
        reportedPlans.add(id);
        PlanState.Step step = new PlanState.Step(APPLIED_STEP_NAME, time.currentTimeMillis(), detail);
        TypedLogReader.withTimeout(controlExecutor, settings.logTimeout(), log.append(new StepCompleted(id, step)))
                .whenComplete((appendResult, failure) -> {
                    if (failure != null) {
                        reportedPlans.remove(id);
                        return;
                    }
                    events.write(Event.PLAN_STEP, id, step.name(), step.detail());
                });
    }

    private void appendSnapshotIfDue(EntrySnapshot snapshot) {
        boolean isOwner = ClaimStreamOwnership.ownerOf(0, snapshot.entriesInService())
                .filter(snapshot.self()::equals)
                .isPresent();
        OperationsState state = snapshot.operations();
        long ageMillis = time.currentTimeMillis() - control.snapshotLoggedAtMillis();
        if (!isOwner
                || appendingSnapshot
                || state.nextOffset() == 0
                || ageMillis < settings.snapshotInterval().toMillis()) {
            return;
        }
        appendingSnapshot = true;
        TypedLogReader.withTimeout(controlExecutor, settings.logTimeout(), log.append(new StateSnapshot(state)))
                .thenCompose(appendResult -> control.refreshOperations())
                .whenComplete((nothing, failure) -> {
                    appendingSnapshot = false;
                    if (failure == null) {
                        events.write(Event.SNAPSHOT_APPENDED, state.nextOffset());
                    }
                });
    }
}
