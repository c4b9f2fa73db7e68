package org.gypsumflow.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunNumber;

/**
 * Best-effort jobs that have an outcome, while runs of their tasks have not ended yet.
 *
 * <p>A stop may be late or unanswered, so that the time since it was sent proves nothing. A run has ended when its
 * agent has reported its result, or when its agent is lost and none of its tasks can still run. Until then the job must
 * not start again, here or at another entry.
 */
final class EndingJobs {
    /**
     * Number of jobs without runs whose next run numbers are kept: jobs that end early in more than 10 seconds at one
     * entry.
     */
    private static final int MAX_ENDED_JOBS = 5_000;

    /** A run that may not have ended yet. */
    record UnendedRun(BestEffortTaskId task, RunNumber runNumber, MemberName agent) {
        // Cheaper than the generated methods, which are linked at run time.
        @Override
        public boolean equals(Object other) {
            return other instanceof UnendedRun that
                    && task.equals(that.task)
                    && runNumber.equals(that.runNumber)
                    && agent.equals(that.agent);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * task.hashCode() + runNumber.hashCode()) + agent.hashCode();
        }
    }

    private static final class EndingJob {
        private final Map<UnendedRun, OptionalLong> endNanosByRun = new HashMap<>();
        private final List<Runnable> endListeners = new ArrayList<>();
        private RunNumber nextRunNumber = RunNumber.FIRST;
    }

    private final Map<JobId, EndingJob> jobs = new HashMap<>();
    private final List<Runnable> dueListeners = new ArrayList<>();
    /** Next run numbers of jobs whose runs have all ended; an ending job has its own. */
    private final Map<JobId, RunNumber> nextRunNumbers = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, RunNumber> eldest) {
            return size() > MAX_ENDED_JOBS;
        }
    };

    /**
     * Adds the runs of a job that has an outcome; does nothing if there are none.
     *
     * @param job id of the job
     * @param runs runs that may not have ended, each with the monotonic time in nanoseconds from which it can no longer
     *     be running, or empty while its agent is connected
     */
    void add(JobId job, Map<UnendedRun, OptionalLong> runs) {
        if (!runs.isEmpty()) {
            EndingJob ending = jobs.computeIfAbsent(job, id -> new EndingJob());
            ending.endNanosByRun.putAll(runs);
            ending.nextRunNumber = nextRunNumbers.getOrDefault(job, ending.nextRunNumber);
        }
    }

    /** Sets the run number with which a job starts if it is submitted again, so that no result counts twice. */
    void recordNextRunNumber(JobId job, RunNumber next) {
        EndingJob ending = jobs.get(job);
        if (ending != null) {
            ending.nextRunNumber = next;
            return;
        }
        nextRunNumbers.remove(job);
        nextRunNumbers.put(job, next);
    }

    /** Returns the number of the first run of a job, higher than those of its runs before. */
    RunNumber firstRunNumber(JobId job) {
        EndingJob ending = jobs.get(job);
        return ending == null ? nextRunNumbers.getOrDefault(job, RunNumber.FIRST) : ending.nextRunNumber;
    }

    /** Returns whether a run of a job may not have ended yet. */
    boolean isEnding(JobId job) {
        return jobs.containsKey(job);
    }

    /** Returns the jobs of which a run may not have ended yet. */
    Set<JobId> ids() {
        return Set.copyOf(jobs.keySet());
    }

    /** Runs an action once all runs of a job have ended: immediately if none is left. */
    void whenEnded(JobId job, Runnable action) {
        EndingJob ending = jobs.get(job);
        if (ending == null) {
            action.run();
        } else {
            ending.endListeners.add(action);
        }
    }

    /** Records the end of a run that an agent reported; whatever its outcome, the run has ended. */
    void recordResult(MemberName agent, RunResult result) {
        JobId job = result.task().job();
        EndingJob ending = jobs.get(job);
        if (ending != null) {
            ending.endNanosByRun.remove(new UnendedRun(result.task(), result.runNumber(), agent));
            removeIfEnded(job, ending);
        }
    }

    /** Records that an agent is lost, with the monotonic time from which none of its runs can still be running. */
    void agentDisconnected(MemberName agent, long endNanos) {
        jobs.values()
                .forEach(ending -> ending.endNanosByRun.replaceAll((run, known) ->
                        known.isEmpty() && run.agent().equals(agent) ? OptionalLong.of(endNanos) : known));
    }

    /** Removes the runs of lost agents that can no longer be running. */
    void tick(long nowNanos) {
        Map.copyOf(jobs).forEach((job, ending) -> {
            ending.endNanosByRun
                    .values()
                    .removeIf(endNanos -> endNanos.isPresent() && nowNanos - endNanos.getAsLong() >= 0);
            removeIfEnded(job, ending);
        });
    }

    /** Runs the actions that wait for jobs which have ended since the last call. */
    void runDueListeners() {
        List<Runnable> due = List.copyOf(dueListeners);
        dueListeners.clear();
        due.forEach(Runnable::run);
    }

    private void removeIfEnded(JobId job, EndingJob ending) {
        if (ending.endNanosByRun.isEmpty() && jobs.remove(job, ending)) {
            recordNextRunNumber(job, ending.nextRunNumber);
            dueListeners.addAll(ending.endListeners);
        }
    }
}
