package org.gypsumflow.traffic;

import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.control.EntryConnector;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Tracing;

/**
 * External services that an {@link AtMostOnceAgent} is built on: clocks, logs, connections, target and telemetry.
 *
 * @param time wall clock and monotonic clock
 * @param membersLog log stream in which entries announce their addresses
 * @param entryConnector opens connections to entries
 * @param target client of the process that runs the tasks
 * @param events receives numbered log events
 * @param tracing records trace spans
 */
public record AgentDependencies(
        TimeSource time,
        TypedLog<MemberRecord> membersLog,
        EntryConnector entryConnector,
        TargetClient target,
        EventLog events,
        Tracing tracing) {}
