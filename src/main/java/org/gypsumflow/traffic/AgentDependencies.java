package org.gypsumflow.traffic;

import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.control.EntryConnector;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Tracing;

/**
 * Everything an agent needs from outside.
 *
 * @param time clocks
 * @param membersLog stream in which entries announce themselves
 * @param dialer opens connections to entries
 * @param target runs tasks
 * @param events receives numbered events
 * @param tracing opens spans
 */
public record AgentDependencies(
        TimeSource time,
        TypedLog<MemberRecord> membersLog,
        EntryConnector dialer,
        TargetClient target,
        EventLog events,
        Tracing tracing) {}
