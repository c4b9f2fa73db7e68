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

/**
 * Runs the tasks of claimed jobs on the agent's target, each task at most once, and reports their outcomes to the
 * entries.
 *
 * <p>All state of this class belongs to the traffic executor; {@link AgentControl} keeps its own on the control
 * executor.
 */
public final class AtMostOnceAgent implements ConnectionListener {
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

    private final AgentIdentity self;
    private final SerialExecutor executor;
    private final TimeSource time;
    private final TargetClient target;
    private final Tracing tracing;
    private final AgentTaskTable taskTable;
    private final AgentControl control;
    private final Map<Incarnation, Connection> entryConnections = new HashMap<>();
    private final Map<Incarnation, Integer> runningCounts = new HashMap<>();
    private final AtomicReference<Map<Incarnation, Integer>> runningByEntry = new AtomicReference<>(Map.of());

    private AtMostOnceAgent(
            AgentIdentity self,
            SerialExecutor controlExecutor,
            SerialExecutor executor,
            ControlSettings controlSettings,
            AgentSettings agentSettings,
            Duration deduplicationWindow,
            AgentDependencies dependencies) {
        this.self = self;
        this.executor = executor;
        this.time = dependencies.time();
        this.target = dependencies.target();
        this.tracing = dependencies.tracing();
        this.taskTable = AgentTaskTable.create(self.incarnation(), deduplicationWindow);
        this.control = AgentControl.create(
                self,
                controlExecutor,
                dependencies.time(),
                controlSettings,
                agentSettings,
                dependencies.membersLog(),
                (address, listener) -> dependencies.entryConnector().connect(address, this),
                runningByEntry::get,
                dependencies.events());
    }

    /**
     * Creates an agent that does nothing until {@link AgentControl#start} is called on its {@link #control}.
     *
     * @param self identity of the agent: its worker, address and incarnation
     * @param controlExecutor executor of the control state
     * @param executor executor of the task table and of all messages about tasks
     * @param controlSettings intervals and timeouts of the control state
     * @param agentSettings number of task slots and limit on entry connections
     * @param deduplicationWindow how long a task is remembered after its last message, so that repeated starts are
     *     detected
     * @param dependencies clocks, logs, connections and the client of the target
     * @return the agent
     */
    public static AtMostOnceAgent create(
            AgentIdentity self,
            SerialExecutor controlExecutor,
            SerialExecutor executor,
            ControlSettings controlSettings,
            AgentSettings agentSettings,
            Duration deduplicationWindow,
            AgentDependencies dependencies) {
        return new AtMostOnceAgent(
                self, controlExecutor, executor, controlSettings, agentSettings, deduplicationWindow, dependencies);
    }

    /**
     * Returns the agent's control state: connections to entries, heartbeats, credits and the registered target.
     *
     * @return the control state
     */
    public AgentControl control() {
        return control;
    }

    /**
     * Returns the number of tasks that the target is running; safe to call from any thread.
     *
     * @return the number of running tasks, over all entries
     */
    public int runningTasks() {
        return runningByEntry.get().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Rejects new tasks and waits for the running ones to finish.
     *
     * @return completes when no task is running
     */
    public CompletableFuture<Void> drain() {
        control.startDraining();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        executor.scheduleWithFixedDelay(DRAIN_CHECK_INTERVAL, () -> {
            if (taskTable.runningTaskCount() > 0) {
                return true;
            }
            drained.complete(null);
            return false;
        });
        return drained;
    }

    @Override
    public void messageReceived(Connection connection, Message message) {
        if (message instanceof StartTask start) {
            executor.execute(() -> start(connection, start));
        } else if (message instanceof ResolveTask resolve) {
            executor.execute(() -> resolve(connection, resolve));
        } else if (message instanceof FindTasks find) {
            executor.execute(() ->
                    connection.send(new FindTasksReply(find.request(), taskTable.startedTasks(find.submission()))));
        }
        control.messageReceived(connection, message);
    }

    @Override
    public void connectionClosed(Connection connection) {
        executor.execute(() -> entryConnections.values().removeIf(connection::equals));
        control.connectionClosed(connection);
    }

    private void start(Connection connection, StartTask start) {
        entryConnections.put(start.entry(), connection);
        StartDecision decision = taskTable.decideStart(start, control.startGuard(), time.nanoTime());
        if (decision instanceof StartDecision.ReportStatus status) {
            report(connection, start.task(), start.attempt(), status);
            return;
        }
        changeRunningCount(start.entry(), 1);
        Tracing.Hop hop = tracing.begin("agent", start.trace());
        target.run(start.task(), start.payload(), start.timeout(), hop.context())
                .handle(this::toOutcome)
                .thenAccept(outcome -> {
                    hop.end(outcome.verdict());
                    executor.execute(() -> finish(start, outcome));
                });
    }

    private TaskOutcome toOutcome(String result, Throwable failure) {
        if (failure == null) {
            return TaskOutcome.completed(result, self.worker());
        }
        RequestError error = RequestException.errorOf(failure);
        return new TaskOutcome(
                error.verdict(), "", error.message(), self.worker().value());
    }

    private void finish(StartTask start, TaskOutcome outcome) {
        taskTable.finish(start.task(), outcome, time.nanoTime());
        changeRunningCount(start.entry(), -1);
        Connection connection = entryConnections.get(start.entry());
        if (connection == null) {
            return;
        }
        TaskStatus status = outcome.verdict() == Verdict.NOT_RUN ? TaskStatus.NOT_STARTED : TaskStatus.FINISHED;
        report(connection, start.task(), start.attempt(), new StartDecision.ReportStatus(status, outcome));
    }

    private void changeRunningCount(Incarnation entry, int change) {
        runningCounts.merge(entry, change, Integer::sum);
        runningCounts.values().removeIf(count -> count == 0);
        runningByEntry.set(Map.copyOf(runningCounts));
    }

    private void resolve(Connection connection, ResolveTask resolve) {
        entryConnections.put(resolve.entry(), connection);
        report(connection, resolve.task(), resolve.attempt(), taskTable.resolve(resolve, time.nanoTime()));
    }

    private void report(Connection connection, TaskId task, Attempt attempt, StartDecision.ReportStatus status) {
        connection.send(new TaskReport(task, attempt, self.incarnation(), status.status(), status.outcome()));
    }
}
