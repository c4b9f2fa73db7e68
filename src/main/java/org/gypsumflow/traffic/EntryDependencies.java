package org.gypsumflow.traffic;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.ClaimRecord;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.WorkerSelectionPolicy;
import org.gypsumflow.control.EntryConnector;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.StreamName;
import org.gypsumflow.model.Tracing;

/**
 * External services that an {@link AtMostOnceEntry} is built on: clocks, logs, connections, policies and telemetry.
 *
 * @param time wall clock and monotonic clock
 * @param random thread-safe source of randomness for nonces, retry delays and worker selection
 * @param operationsLog log stream of plans and confirmations
 * @param membersLog log stream in which entries announce their addresses
 * @param claimLogs returns the claim stream of a given name
 * @param entryConnector opens connections to other entries
 * @param selectionPolicy chooses the worker of each task
 * @param events receives numbered log events
 * @param tracing records trace spans
 */
public record EntryDependencies(
        TimeSource time,
        RandomGenerator random,
        TypedLog<OperationRecord> operationsLog,
        TypedLog<MemberRecord> membersLog,
        Function<StreamName, TypedLog<List<ClaimRecord>>> claimLogs,
        EntryConnector entryConnector,
        WorkerSelectionPolicy selectionPolicy,
        EventLog events,
        Tracing tracing) {}
