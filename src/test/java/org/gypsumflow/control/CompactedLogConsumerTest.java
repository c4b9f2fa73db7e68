package org.gypsumflow.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class CompactedLogConsumerTest {
    /** The shortest time without a disruption after which the platform expects changes to be followed in time. */
    private static final long SHORTEST_CONTACT_MILLIS = 3000;

    private final List<String> received = new ArrayList<>();
    private final List<Event> written = new ArrayList<>();
    private ManualCompactedLog log;
    private ManualExecutor executor;

    @BeforeMethod
    public void startAConsumerThatThrowsForOneKey() {
        received.clear();
        written.clear();
        log = new ManualCompactedLog();
        executor = new ManualExecutor();
        CompactedLogConsumer.create(
                        log, "topic", executor, this::receive, this::receive, (event, details) -> written.add(event))
                .start();
    }

    private void receive(Page page) {
        page.records().forEach(record -> {
            if (record.key().equals("odd")) {
                throw new IllegalArgumentException("odd record");
            }
            received.add(record.key());
        });
    }

    /** Lets the log deliver a record, as its own thread does: what the consumer throws doesn't reach the log. */
    private void deliver(String key) {
        try {
            log.deliver(key, "value");
        } catch (RuntimeException unexpected) {
            received.add("thrown: " + unexpected.getMessage());
        }
    }

    // Guards against a process that follows the store no longer: a record made the receiver of the updates throw.
    @Test
    public void updatesAreStillReadAfterOneMadeItsReceiverThrow() {
        deliver("first");
        deliver("odd");
        assertEquals(log.pendingReads(), 1);
        deliver("second");
        assertEquals(received, List.of("first", "second"));
        assertEquals(written, List.of(Event.INTERNAL_ERROR));
    }

    // Guards against a process that never follows the store: a record made the receiver of the first page throw.
    @Test
    public void updatesAreReadAfterTheSnapshotMadeItsReceiverThrow() {
        deliver("odd");
        assertEquals(log.pendingReads(), 1);
        deliver("first");
        assertEquals(received, List.of("first"));
        assertEquals(written, List.of(Event.INTERNAL_ERROR));
    }

    // Guards against routes and closed zones that are followed late: the connection on which a read waits for a record
    // has gone silent, which only the missing response shows.
    @Test
    public void aChangeIsReceivedBeforeTheProcessCountsAsInTouchAgainAfterItsConnectionsWentSilent() {
        for (int phaseMillis = 0; phaseMillis < 1200; phaseMillis += 100) {
            received.clear();
            ManualExecutor clock = new ManualExecutor();
            SilenceableLog silenceable = new SilenceableLog(clock);
            CompactedLogConsumer.create(
                            silenceable, "topic", clock, this::receive, this::receive, (event, details) -> {})
                    .start();
            clock.advance(5000 + phaseMillis);
            silenceable.silenceOpenConnections();
            silenceable.append("change");
            clock.advance(SHORTEST_CONTACT_MILLIS);
            assertEquals(received, List.of("change"), "after " + phaseMillis + " ms");
        }
    }

    @Test
    public void aQuietTopicIsReadOnceInTheMaximumWaitOfARead() {
        ManualExecutor clock = new ManualExecutor();
        SilenceableLog quiet = new SilenceableLog(clock);
        CompactedLogConsumer.create(quiet, "topic", clock, this::receive, this::receive, (event, details) -> {})
                .start();
        int reads = 30;
        clock.advance(CompactedLogConsumer.MAX_READ_WAIT.toMillis() * reads);
        assertEquals(quiet.reads(), reads + 1);
    }
}
