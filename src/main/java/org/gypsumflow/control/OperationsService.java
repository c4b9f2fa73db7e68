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

/** Takes intents and confirmations of operators and reports what came of them; works on the control lane. */
public final class OperationsService {
    private static final Duration CONFIRM_LIMIT = Duration.ofSeconds(10);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
    private static final Duration REACH_MARGIN = Duration.ofSeconds(1);

    /** Name of the step that says that a plan's change holds everywhere. */
    public static final String APPLIED_STEP_NAME = "in force";

    private final EntryControl control;
    private final SerialExecutor lane;
    private final TimeSource time;
    private final ControlSettings settings;
    private final TypedLog<OperationRecord> log;
    private final RandomGenerator random;
    private final EventLog events;
    private final Set<PlanId> reporting = new HashSet<>();
    private boolean repeating;
    private boolean stopped;

    private OperationsService(
            EntryControl control,
            SerialExecutor lane,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> log,
            RandomGenerator random,
            EventLog events) {
        this.control = control;
        this.lane = lane;
        this.time = time;
        this.settings = settings;
        this.log = log;
        this.random = random;
        this.events = events;
    }

    /**
     * Creates the desk; {@link #start} sets it going.
     *
     * @param control control state of the entry
     * @param lane the control lane
     * @param time clocks
     * @param settings times
     * @param log stream of plans and confirmations
     * @param random source of names of plans
     * @param events receives numbered events
     * @return the desk
     */
    public static OperationsService create(
            EntryControl control,
            SerialExecutor lane,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> log,
            RandomGenerator random,
            EventLog events) {
        return new OperationsService(control, lane, time, settings, log, random, events);
    }

    /** Starts to report steps of accepted plans and to repeat the state before the log forgets it. */
    public void start() {
        lane.execute(() -> lane.scheduleWithFixedDelay(settings.heartbeatInterval(), this::look));
    }

    /** Stops all periodic work. */
    public void stop() {
        lane.execute(() -> stopped = true);
    }

    /**
     * Makes a plan and records it; nothing else is done.
     *
     * @param intent the operator's words
     * @param operator who asks
     * @return the plan, or a {@link org.gypsumflow.model.RequestException}
     */
    public CompletableFuture<Plan> createPlan(String intent, Operator operator) {
        return control.refreshOperations()
                .handle((nothing, failure) -> failure)
                .thenCompose(failure -> failure == null
                        ? record(intent, operator)
                        : CompletableFuture.failedFuture(logUnavailable("no plan was made")));
    }

    /**
     * Confirms a plan.
     *
     * @param id the plan
     * @param operator who confirms
     * @param override true to accept that the last capacity of a service closes
     * @return what became of the plan, or a {@link org.gypsumflow.model.RequestException}
     */
    public CompletableFuture<PlanState> confirmPlan(PlanId id, Operator operator, boolean override) {
        CompletableFuture<PlanState> answer = new CompletableFuture<>();
        control.refreshOperations()
                .whenComplete((nothing, failure) -> lane.execute(() -> {
                    if (failure != null) {
                        answer.completeExceptionally(logUnavailable("plan \"" + id + "\" is not confirmed"));
                        return;
                    }
                    confirmNow(id, operator, override, answer);
                }));
        answer.whenComplete((state, failure) -> {
            if (failure != null) {
                events.write(Event.CONFIRMATION_REJECTED, id, operator, failure.getMessage());
            } else {
                events.write(Event.PLAN_ACCEPTED, id, operator, state.version());
            }
        });
        return answer;
    }

    private CompletableFuture<Plan> record(String intent, Operator operator) {
        EntrySnapshot snapshot = control.snapshot();
        PlanId id = PlanId.of(randomText());
        Plan plan;
        try {
            plan = Planner.createPlan(
                    id,
                    intent,
                    operator,
                    snapshot.operations(),
                    facts(snapshot),
                    time.currentTimeMillis(),
                    settings.planLifetime());
        } catch (ValidationException invalid) {
            return CompletableFuture.failedFuture(invalid);
        }
        return TypedLogReader.withTimeout(lane, settings.logTimeout(), log.append(new PlanProposed(plan)))
                .handle((appended, failure) -> {
                    if (failure != null) {
                        throw logUnavailable("plan \"" + id + "\" may not be recorded; ask for another");
                    }
                    events.write(Event.PLAN_PROPOSED, id, operator, intent);
                    return plan;
                })
                .thenCompose(made -> control.refreshOperations().handle((nothing, failure) -> made));
    }

    private String randomText() {
        return String.format("%08x", random.nextInt());
    }

    private static List<WorkerSnapshot> facts(EntrySnapshot snapshot) {
        return snapshot.workers().values().stream()
                .filter(view -> !view.draining())
                .map(view -> new WorkerSnapshot(
                        view.worker(), view.zone(), view.service(), view.slots(), view.runningTasks()))
                .toList();
    }

    private void confirmNow(PlanId id, Operator operator, boolean override, CompletableFuture<PlanState> answer) {
        Optional<RequestError> refusal = refusal(id, override);
        if (refusal.isPresent()) {
            answer.completeExceptionally(refusal.get().toException());
            return;
        }
        ConfirmationSubmitted confirmation =
                new ConfirmationSubmitted(id, operator, randomText(), override, time.currentTimeMillis());
        closing(id).ifPresent(control::addPendingClosure);
        append(confirmation, time.nanoTime() + CONFIRM_LIMIT.toNanos(), answer);
    }

    private Optional<RequestError> refusal(PlanId id, boolean override) {
        OperationsState state = control.snapshot().operations();
        Optional<PlanState> known = state.plan(id);
        if (known.isEmpty()) {
            return Optional.of(RequestError.notRun(ErrorCode.NOT_FOUND, "plan \"" + id + "\" does not exist"));
        }
        PlanState plan = known.get();
        if (plan.status() == Status.ACCEPTED) {
            return Optional.of(RequestError.notRun(
                    ErrorCode.CONFLICT, "plan \"" + id + "\" was confirmed by \"" + plan.confirmedBy() + "\" already"));
        }
        if (plan.status() == Status.VOID) {
            return Optional.of(voided(plan));
        }
        if (time.currentTimeMillis() > plan.plan().expiresAtMillis()) {
            return Optional.of(
                    RequestError.notRun(ErrorCode.CONFLICT, "plan \"" + id + "\" has expired; ask for another"));
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
        if (control.isCutOff()) {
            return Optional.of(RequestError.notRun(
                    ErrorCode.CUT_OFF,
                    "this entry does not reach enough other entries to close anything; use another entry"));
        }
        return Optional.empty();
    }

    private void append(ConfirmationSubmitted confirmation, long deadlineNanos, CompletableFuture<PlanState> answer) {
        TypedLogReader.withTimeout(lane, settings.logTimeout(), log.append(confirmation))
                .handle((appended, failure) -> control.refreshOperations())
                .thenCompose(refreshed -> refreshed)
                .whenComplete((nothing, failure) -> lane.execute(() -> settle(confirmation, deadlineNanos, answer)));
    }

    /** Decides by what the log says, since the answer to an append may be lost after it took effect. */
    private void settle(ConfirmationSubmitted confirmation, long deadlineNanos, CompletableFuture<PlanState> answer) {
        PlanState state = control.snapshot()
                .operations()
                .plan(confirmation.plan())
                .filter(known -> known.status() != Status.PROPOSED)
                .orElse(null);
        if (state != null) {
            closing(confirmation.plan()).ifPresent(control::removePendingClosure);
            answerWith(state, confirmation, answer);
            return;
        }
        if (time.nanoTime() - deadlineNanos >= 0) {
            closing(confirmation.plan()).ifPresent(this::releaseOnceRead);
            answer.completeExceptionally(RequestError.mayHaveRun(
                            ErrorCode.LOG_UNAVAILABLE,
                            "the platform's log did not answer; plan \"" + confirmation.plan()
                                    + "\" may be confirmed, its outcome will tell")
                    .toException());
            return;
        }
        lane.schedule(RETRY_PAUSE, () -> append(confirmation, deadlineNanos, answer));
    }

    /** Finds the zone that a plan closes. */
    private Optional<AvailabilityZone> closing(PlanId id) {
        return control.snapshot()
                .operations()
                .plan(id)
                .map(state -> state.plan().change())
                .filter(CloseZone.class::isInstance)
                .map(change -> ((CloseZone) change).zone());
    }

    /** Holds a zone until the log tells whether the closing stands in it. */
    private void releaseOnceRead(AvailabilityZone zone) {
        control.refreshOperations()
                .whenComplete((nothing, failure) -> lane.execute(() -> {
                    if (failure == null) {
                        control.removePendingClosure(zone);
                    } else if (!stopped) {
                        lane.schedule(RETRY_PAUSE, () -> releaseOnceRead(zone));
                    }
                }));
    }

    private static void answerWith(
            PlanState state, ConfirmationSubmitted confirmation, CompletableFuture<PlanState> answer) {
        boolean ours = state.confirmationNonce().equals(confirmation.nonce());
        if (ours && state.status() == Status.ACCEPTED) {
            answer.complete(state);
            return;
        }
        RequestError refusal = state.status() == Status.VOID
                ? voided(state)
                : RequestError.notRun(
                        ErrorCode.CONFLICT,
                        "plan \"" + state.plan().id() + "\" was confirmed by \"" + state.confirmedBy() + "\" first");
        answer.completeExceptionally(refusal.toException());
    }

    private static RequestError voided(PlanState state) {
        return RequestError.notRun(
                ErrorCode.CONFLICT, "plan \"" + state.plan().id() + "\" is void: " + state.voidReason());
    }

    private static RuntimeException logUnavailable(String consequence) {
        return RequestError.notRun(ErrorCode.LOG_UNAVAILABLE, "the platform's log does not answer; " + consequence)
                .toException();
    }

    private boolean look() {
        if (stopped) {
            return false;
        }
        EntrySnapshot snapshot = control.snapshot();
        if (snapshot.ready()) {
            snapshot.operations().plans().values().stream()
                    .filter(state -> state.status() == Status.ACCEPTED)
                    .filter(state ->
                            state.steps().stream().noneMatch(step -> step.name().equals(APPLIED_STEP_NAME)))
                    .forEach(state -> reportIfInForce(snapshot, state));
            repeatState(snapshot);
        }
        return true;
    }

    private void reportIfInForce(EntrySnapshot snapshot, PlanState state) {
        PlanId id = state.plan().id();
        int hash = Math.floorMod(id.hashCode(), Integer.MAX_VALUE);
        boolean mine = ClaimStreamOwnership.ownerOf(hash, snapshot.entriesInService())
                .filter(snapshot.self()::equals)
                .isPresent();
        if (!mine || reporting.contains(id)) {
            return;
        }
        List<String> behind = snapshot.workers().values().stream()
                .filter(view -> state.version().isAfter(view.configurationVersion()))
                .map(view -> view.worker().value())
                .sorted()
                .toList();
        long selfStopMillis = state.confirmedAtMillis()
                + settings.maxConfigurationAge().plus(REACH_MARGIN).toMillis();
        int reached = snapshot.workers().size() - behind.size();
        if (behind.isEmpty() && reached > 0) {
            report(id, reached + " of " + reached + " agents acknowledged version " + state.version());
        } else if (time.currentTimeMillis() > selfStopMillis) {
            report(
                    id,
                    reached + " of " + snapshot.workers().size() + " agents acknowledged version " + state.version()
                            + "; every other agent started nothing from "
                            + Instant.ofEpochMilli(selfStopMillis) + " on: " + String.join(", ", behind));
        }
    }

    private void report(PlanId id, String detail) {
        reporting.add(id);
        PlanState.Step step = new PlanState.Step(APPLIED_STEP_NAME, time.currentTimeMillis(), detail);
        TypedLogReader.withTimeout(lane, settings.logTimeout(), log.append(new StepCompleted(id, step)))
                .whenComplete((appended, failure) -> {
                    if (failure != null) {
                        reporting.remove(id);
                        return;
                    }
                    events.write(Event.PLAN_STEP, id, step.name(), step.detail());
                });
    }

    private void repeatState(EntrySnapshot snapshot) {
        boolean mine = ClaimStreamOwnership.ownerOf(0, snapshot.entriesInService())
                .filter(snapshot.self()::equals)
                .isPresent();
        OperationsState state = snapshot.operations();
        long ageMillis = time.currentTimeMillis() - control.snapshotLoggedAtMillis();
        if (!mine
                || repeating
                || state.nextOffset() == 0
                || ageMillis < settings.snapshotInterval().toMillis()) {
            return;
        }
        repeating = true;
        TypedLogReader.withTimeout(lane, settings.logTimeout(), log.append(new StateSnapshot(state)))
                .thenCompose(appended -> control.refreshOperations())
                .whenComplete((nothing, failure) -> {
                    repeating = false;
                    if (failure == null) {
                        events.write(Event.SNAPSHOT_APPENDED, state.nextOffset());
                    }
                });
    }
}
