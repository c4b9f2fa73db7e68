package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.Membership;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.OperationsProjection;
import org.gypsumflow.command.OperationsState;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/** Follows the operations and members streams for an entry; used on the control lane only. */
final class EntryStreamPoller {
    private final SerialExecutor lane;
    private final Duration timeout;
    private final TypedLog<OperationRecord> operationsLog;
    private final TypedLog<MemberRecord> membersLog;
    private final Membership membership;
    private final EventLog events;
    private final OperationsProjection follower = OperationsProjection.create();
    private boolean caughtUp;
    private boolean reachable = true;
    private boolean polling;

    private EntryStreamPoller(
            SerialExecutor lane,
            Duration timeout,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            Membership membership,
            EventLog events) {
        this.lane = lane;
        this.timeout = timeout;
        this.operationsLog = operationsLog;
        this.membersLog = membersLog;
        this.membership = membership;
        this.events = events;
    }

    static EntryStreamPoller create(
            SerialExecutor lane,
            Duration timeout,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            Membership membership,
            EventLog events) {
        return new EntryStreamPoller(lane, timeout, operationsLog, membersLog, membership, events);
    }

    /** Returns what the operations stream says as far as it was read. */
    OperationsState operationsState() {
        return follower.state();
    }

    /** Tells whether the operations stream was once read to its head without a gap. */
    boolean isCaughtUp() {
        return caughtUp;
    }

    long snapshotLoggedAtMillis() {
        return follower.snapshotLoggedAtMillis();
    }

    /** Reads both streams unless that is under way; {@code done} runs once it ended either way. */
    void poll(Runnable operationsRead, Runnable done) {
        if (polling) {
            return;
        }
        polling = true;
        readMembers()
                .handle((nothing, failure) -> readOperations(operationsRead))
                .thenCompose(reading -> reading)
                .whenComplete((nothing, failure) -> {
                    polling = false;
                    noteReachable(failure);
                    done.run();
                });
    }

    /** Reads the operations stream to its head; {@code operationsRead} runs if no record is missing. */
    CompletableFuture<Void> readOperations(Runnable operationsRead) {
        return TypedLogReader.readToHead(operationsLog, lane, timeout, follower::nextOffset, this::foldOperations)
                .thenRun(() -> {
                    if (!follower.hasGap()) {
                        caughtUp = true;
                        operationsRead.run();
                    }
                });
    }

    CompletableFuture<Void> announce(MemberRecord member) {
        return TypedLogReader.withTimeout(lane, timeout, membersLog.append(member))
                .thenAccept(appended -> {});
    }

    private CompletableFuture<Void> readMembers() {
        return TypedLogReader.readToHead(membersLog, lane, timeout, membership::nextOffset, page -> page.records()
                .forEach(entry -> membership.apply(entry.offset(), entry.loggedAtMillis(), entry.body())));
    }

    private void foldOperations(Page<OperationRecord> page) {
        if (page.firstOffset() > follower.nextOffset()) {
            events.write(Event.CONFIGURATION_GAP, page.firstOffset());
        }
        follower.skipTruncated(page.firstOffset());
        page.records().forEach(entry -> follower.apply(entry.offset(), entry.loggedAtMillis(), entry.body()));
    }

    private void noteReachable(Throwable failure) {
        boolean answered = failure == null;
        if (answered == reachable) {
            return;
        }
        reachable = answered;
        if (answered) {
            events.write(Event.LOG_REACHABLE);
        } else {
            events.write(Event.LOG_UNREACHABLE, failure.getMessage());
        }
    }
}
