package org.gypsumflow.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.model.Event;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RoutingStateFallbackTest {
    /** Time after which the platform expects that no task starts in a closed zone. */
    private static final long CLOSED_ZONE_MILLIS = 5000;
    /** Time between two echoes of an entry with many connections. */
    private static final long ECHO_INTERVAL_MILLIS = 300;

    /** Store as an agent sees it, which answers at once, rejects all reads, or leaves the first ones unanswered. */
    private final class AgentLog implements CompactedLog {
        private int reads;
        private int silentReads;
        private boolean rejects;

        @Override
        public CompletableFuture<Page> readLatestByKey(String topic) {
            reads++;
            if (rejects) {
                return CompletableFuture.failedFuture(new IllegalStateException("HTTP status 503"));
            }
            CompletableFuture<Page> response = new CompletableFuture<>();
            if (silentReads > 0) {
                silentReads--;
                executor.schedule(
                        RESPONSE_TIMEOUT, () -> response.completeExceptionally(new TimeoutException("no response")));
            } else {
                response.complete(new Page(List.of(), 1));
            }
            return response;
        }

        @Override
        public CompletableFuture<Page> read(String topic, long fromOffset, Duration maxWait) {
            throw new UnsupportedOperationException("an agent does not wait for updates");
        }

        @Override
        public CompletableFuture<Void> put(String topic, String key, byte[] value) {
            return CompletableFuture.completedFuture(null);
        }
    }

    private final List<Event> events = new ArrayList<>();
    private ManualExecutor executor;
    private AgentLog log;
    private RoutingStateCache entryState;
    private RoutingStateCache agentState;
    private int applied;
    private boolean connected;

    @BeforeMethod
    public void startAnAgentWithAnEntryThatFollowsTheRecords() {
        events.clear();
        applied = 0;
        connected = true;
        executor = new ManualExecutor();
        log = new AgentLog();
        entryState = RoutingStateCache.create((event, details) -> {});
        agentState = RoutingStateCache.create((event, details) -> {});
        executor.scheduleWithFixedDelay(Duration.ofMillis(ECHO_INTERVAL_MILLIS), () -> {
            if (entryState.isConfirmed(now())) {
                agentState.confirmByMember(now());
            }
            return true;
        });
        RoutingStateFallback.create(
                        log,
                        "topic",
                        executor,
                        executor.timeSource(),
                        agentState,
                        () -> connected,
                        page -> applied++,
                        (event, details) -> events.add(event),
                        DecisionCounter.none())
                .start();
        entryState.confirmRead(now());
        agentState.confirmByMember(now());
    }

    private long now() {
        return executor.timeSource().nanoTime();
    }

    /** Lets the entry read for some time, in the rhythm of a quiet topic. */
    private void letEntryRead(long millis) {
        long readMillis = CompactedLogConsumer.MAX_READ_WAIT.toMillis();
        for (long elapsed = 0; elapsed < millis; elapsed += readMillis) {
            long requestedNanos = now();
            executor.advance(readMillis);
            entryState.confirmRead(requestedNanos);
        }
    }

    // Guards against tasks that start in an evacuated zone: agents knew closed zones from the entries only, which the
    // store turned away.
    @Test
    public void aRecordIsReadInTimeWheneverTheStoreTurnsTheEntryAwayAndAlthoughTheConnectionOfTheAgentIsSilent() {
        for (int phaseMillis = 0; phaseMillis < 1000; phaseMillis += 50) {
            startAnAgentWithAnEntryThatFollowsTheRecords();
            letEntryRead(3000);
            executor.advance(phaseMillis);
            entryState.confirmRead(now());
            log.silentReads = 1;
            executor.advance(CLOSED_ZONE_MILLIS);
            assertTrue(applied > 0, "after " + phaseMillis + " ms");
        }
    }

    @Test
    public void anAgentReadsNothingWhileAnEntryFollowsTheRecords() {
        letEntryRead(30_000);
        assertEquals(log.reads, 0);
        assertEquals(events, List.of());
    }

    @Test
    public void anAgentReadsAgainBeforeItsLastReadIsTooOldWhileNoEntryFollowsTheRecords() {
        executor.advance(30_000);
        long longestPauseMillis = RoutingStateCache.READ_VALIDITY
                .plus(RoutingStateFallback.CHECK_INTERVAL)
                .toMillis();
        assertTrue(applied >= (30_000 - CLOSED_ZONE_MILLIS) / longestPauseMillis);
        assertEquals(events, List.of(Event.ROUTING_UNCONFIRMED));
    }

    @Test
    public void anAgentThatTheStoreRejectsTooTriesOnceASecond() {
        log.rejects = true;
        executor.advance(30_000);
        assertEquals(applied, 0);
        assertTrue(log.reads <= 30, log.reads + " reads");
    }

    @Test
    public void anAgentStopsReadingWhenAnEntryFollowsTheRecordsAgain() {
        executor.advance(10_000);
        entryState.confirmRead(now());
        letEntryRead(1000);
        int readsBefore = log.reads;
        letEntryRead(10_000);
        assertEquals(log.reads, readsBefore);
        assertEquals(events, List.of(Event.ROUTING_UNCONFIRMED, Event.ROUTING_CONFIRMED));
    }

    @Test
    public void anAgentWithoutEntriesReadsNothing() {
        connected = false;
        executor.advance(30_000);
        assertEquals(log.reads, 0);
    }

    @Test
    public void aConfirmationOfAMemberHoldsAsLongAsItsContact() {
        RoutingStateCache state = RoutingStateCache.create((event, details) -> {});
        state.confirmByMember(now());
        executor.advance(BestEffortTimings.CONFIRMED_CONTACT_LIMIT.toMillis());
        assertTrue(state.isConfirmedByMember(now()));
        executor.advance(1);
        assertFalse(state.isConfirmedByMember(now()));
    }
}
