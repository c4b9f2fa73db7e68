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

/**
 * Polls the operations and members streams for an entry and tracks whether the log is reachable; control thread only.
 */
final class EntryStreamPoller {
    private final SerialExecutor controlExecutor;
    private final Duration timeout;
    private final TypedLog<OperationRecord> operationsLog;
    private final TypedLog<MemberRecord> membersLog;
    private final Membership membership;
    private final EventLog events;
    private final OperationsProjection operationsProjection = OperationsProjection.create();
    private boolean caughtUp;
    private boolean reachable = true;
    private boolean polling;

    private EntryStreamPoller(
            SerialExecutor controlExecutor,
            Duration timeout,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            Membership membership,
            EventLog events) {
        this.controlExecutor = controlExecutor;
        this.timeout = timeout;
        this.operationsLog = operationsLog;
        this.membersLog = membersLog;
        this.membership = membership;
        this.events = events;
    }

    static EntryStreamPoller create(
            SerialExecutor controlExecutor,
            Duration timeout,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            Membership membership,
            EventLog events) {
        return new EntryStreamPoller(controlExecutor, timeout, operationsLog, membersLog, membership, events);
    }

    /** Returns the state built from the operations stream as far as it has been read. */
    OperationsState operationsState() {
        return operationsProjection.state();
    }

    /** Returns whether the operations stream has been read to its head at least once without a gap. */
    boolean isCaughtUp() {
        return caughtUp;
    }

    long snapshotLoggedAtMillis() {
        return operationsProjection.snapshotLoggedAtMillis();
    }

    /** Polls both streams unless a poll is already running; {@code done} runs after success and after failure. */
    void poll(Runnable operationsRead, Runnable done) {
        if (polling) {
            return;
        }
        polling = true;
        TypedLogReader.readMembers(membersLog, controlExecutor, timeout, membership)
                .handle((nothing, failure) -> readOperations(operationsRead))
                .thenCompose(operationsReading -> operationsReading)
                .whenComplete((nothing, failure) -> {
                    polling = false;
                    logReachabilityChange(failure);
                    done.run();
                });
    }

    /** Reads the operations stream to its head; {@code operationsRead} runs then, unless records expired unread. */
    CompletableFuture<Void> readOperations(Runnable operationsRead) {
        return TypedLogReader.readToHead(
                        operationsLog,
                        controlExecutor,
                        timeout,
                        operationsProjection::nextOffset,
                        this::applyOperations)
                .thenRun(() -> {
                    if (!operationsProjection.hasGap()) {
                        caughtUp = true;
                        operationsRead.run();
                    }
                });
    }

    CompletableFuture<Void> announce(MemberRecord member) {
        return TypedLogReader.withTimeout(controlExecutor, timeout, membersLog.append(member))
                .thenAccept(appendResult -> {});
    }

    private void applyOperations(Page<OperationRecord> page) {
        if (page.firstOffset() > operationsProjection.nextOffset()) {
            events.write(Event.CONFIGURATION_GAP, page.firstOffset());
        }
        operationsProjection.skipTruncated(page.firstOffset());
        page.records()
                .forEach(record -> operationsProjection.apply(record.offset(), record.loggedAtMillis(), record.body()));
        operationsProjection.skipTo(page.nextOffset());
    }

    private void logReachabilityChange(Throwable failure) {
        boolean nowReachable = failure == null;
        if (nowReachable == reachable) {
            return;
        }
        reachable = nowReachable;
        if (nowReachable) {
            events.write(Event.LOG_REACHABLE);
        } else {
            events.write(Event.LOG_UNREACHABLE, failure.getMessage());
        }
    }
}
