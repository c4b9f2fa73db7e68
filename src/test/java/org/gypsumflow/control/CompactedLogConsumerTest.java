package org.gypsumflow.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class CompactedLogConsumerTest {
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
}
