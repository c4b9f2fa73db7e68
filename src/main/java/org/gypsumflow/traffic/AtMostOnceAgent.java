package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.gypsumflow.command.AgentTaskTable;
import org.gypsumflow.command.StartDecision;
import org.gypsumflow.control.AgentControl;
import org.gypsumflow.control.AgentIdentity;
import org.gypsumflow.control.AgentSettings;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.CommandMessage.ResolveTask;
import org.gypsumflow.model.CommandMessage.StartTask;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.QueryMessage.FindTasks;
import org.gypsumflow.model.ReportMessage.FindTasksReply;
import org.gypsumflow.model.ReportMessage.TaskReport;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;

/** An agent: starts tasks on the target beside it, each at most once, and answers for them. */
public final class AtMostOnceAgent implements ConnectionListener {
    private static final Duration DRAIN_CHECK = Duration.ofMillis(20);

    private final AgentIdentity self;
    private final SerialExecutor lane;
    private final TimeSource time;
    private final TargetClient target;
    private final Tracing tracing;
    private final AgentTaskTable ledger;
    private final AgentControl control;
    private final Map<Incarnation, Connection> entryLinks = new HashMap<>();
    private final Map<Incarnation, Integer> inUse = new HashMap<>();
    private final AtomicReference<Map<Incarnation, Integer>> runningByEntry = new AtomicReference<>(Map.of());

    private AtMostOnceAgent(
            AgentIdentity self,
            SerialExecutor controlLane,
            SerialExecutor lane,
            ControlSettings settings,
            AgentSettings size,
            Duration window,
            AgentDependencies ports) {
        this.self = self;
        this.lane = lane;
        this.time = ports.time();
        this.target = ports.target();
        this.tracing = ports.tracing();
        this.ledger = AgentTaskTable.create(self.incarnation(), window);
        this.control = AgentControl.create(
                self,
                controlLane,
                ports.time(),
                settings,
                size,
                ports.membersLog(),
                (address, listener) -> ports.dialer().connect(address, this),
                runningByEntry::get,
                ports.events());
    }

    /**
     * Creates an agent; {@link AgentControl#start} sets it going.
     *
     * @param self the agent
     * @param controlLane lane of the control state
     * @param lane lane of the traffic
     * @param settings times of the control state
     * @param size slots and connections
     * @param window how long a task is remembered
     * @param ports what it needs from outside
     * @return the agent
     */
    public static AtMostOnceAgent create(
            AgentIdentity self,
            SerialExecutor controlLane,
            SerialExecutor lane,
            ControlSettings settings,
            AgentSettings size,
            Duration window,
            AgentDependencies ports) {
        return new AtMostOnceAgent(self, controlLane, lane, settings, size, window, ports);
    }

    /**
     * Returns the control state.
     *
     * @return the control state
     */
    public AgentControl control() {
        return control;
    }

    /**
     * Returns the number of tasks running; callable on any thread.
     *
     * @return the number of tasks
     */
    public int runningTasks() {
        return runningByEntry.get().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Refuses new work and waits for the running tasks.
     *
     * @return completes when no task runs any more
     */
    public CompletableFuture<Void> drain() {
        control.startDraining();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        lane.scheduleWithFixedDelay(DRAIN_CHECK, () -> {
            if (ledger.runningTaskCount() > 0) {
                return true;
            }
            drained.complete(null);
            return false;
        });
        return drained;
    }

    @Override
    public void messageReceived(Connection link, Message message) {
        if (message instanceof StartTask start) {
            lane.execute(() -> start(link, start));
        } else if (message instanceof ResolveTask resolve) {
            lane.execute(() -> resolve(link, resolve));
        } else if (message instanceof FindTasks find) {
            lane.execute(() -> link.send(new FindTasksReply(find.request(), ledger.startedTasks(find.submission()))));
        }
        control.messageReceived(link, message);
    }

    @Override
    public void connectionClosed(Connection link) {
        lane.execute(() -> entryLinks.values().removeIf(link::equals));
        control.connectionClosed(link);
    }

    private void start(Connection link, StartTask start) {
        entryLinks.put(start.entry(), link);
        StartDecision decision = ledger.decideStart(start, control.startGuard(), time.nanoTime());
        if (decision instanceof StartDecision.Answer answer) {
            report(link, start.task(), start.attempt(), answer);
            return;
        }
        count(start.entry(), 1);
        Tracing.Hop hop = tracing.begin("agent", start.trace());
        target.run(start.task(), start.payload(), start.timeout(), hop.context())
                .handle(this::outcome)
                .thenAccept(outcome -> {
                    hop.end(outcome.verdict());
                    lane.execute(() -> finish(start, outcome));
                });
    }

    private TaskOutcome outcome(String result, Throwable failure) {
        if (failure == null) {
            return TaskOutcome.completed(result, self.worker());
        }
        RequestError refusal = RequestException.errorOf(failure);
        return new TaskOutcome(
                refusal.verdict(), "", refusal.message(), self.worker().value());
    }

    private void finish(StartTask start, TaskOutcome outcome) {
        ledger.finish(start.task(), outcome, time.nanoTime());
        count(start.entry(), -1);
        Connection link = entryLinks.get(start.entry());
        if (link == null) {
            return;
        }
        TaskStatus standing = outcome.verdict() == Verdict.NOT_RUN ? TaskStatus.NOT_STARTED : TaskStatus.FINISHED;
        report(link, start.task(), start.attempt(), new StartDecision.Answer(standing, outcome));
    }

    private void count(Incarnation entry, int change) {
        inUse.merge(entry, change, Integer::sum);
        inUse.values().removeIf(count -> count == 0);
        runningByEntry.set(Map.copyOf(inUse));
    }

    private void resolve(Connection link, ResolveTask resolve) {
        entryLinks.put(resolve.entry(), link);
        report(link, resolve.task(), resolve.attempt(), ledger.resolve(resolve, time.nanoTime()));
    }

    private void report(Connection link, TaskId task, Attempt attempt, StartDecision.Answer answer) {
        link.send(new TaskReport(task, attempt, self.incarnation(), answer.status(), answer.outcome()));
    }
}
