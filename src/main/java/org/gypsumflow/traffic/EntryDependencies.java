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
 * Everything an entry needs from outside.
 *
 * @param time clocks
 * @param random source of randomness, safe for use by several threads
 * @param operationsLog stream of plans and confirmations
 * @param membersLog stream of announcements
 * @param claimLogs claim streams by name
 * @param dialer opens connections to other entries
 * @param policy chooses workers
 * @param events receives numbered events
 * @param tracing opens spans
 */
public record EntryDependencies(
        TimeSource time,
        RandomGenerator random,
        TypedLog<OperationRecord> operationsLog,
        TypedLog<MemberRecord> membersLog,
        Function<StreamName, TypedLog<List<ClaimRecord>>> claimLogs,
        EntryConnector dialer,
        WorkerSelectionPolicy policy,
        EventLog events,
        Tracing tracing) {}
