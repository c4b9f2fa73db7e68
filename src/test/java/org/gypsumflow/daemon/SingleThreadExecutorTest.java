package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gypsumflow.model.Event;
import org.gypsumflow.wire.NettyTransport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class SingleThreadExecutorTest {
    private static final long WAIT_SECONDS = 20;

    private final List<Event> written = new CopyOnWriteArrayList<>();
    private SingleThreadExecutor executor;

    @BeforeMethod
    public void startExecutor() {
        written.clear();
        executor = SingleThreadExecutor.create("test", (event, details) -> written.add(event));
    }

    @AfterMethod
    public void stopExecutor() {
        executor.close();
    }

    // The executor has to survive an error as it comes from the JVM.
    @SuppressWarnings("ThrowError")
    @DataProvider
    public Object[][] throwingActions() {
        Runnable exception = () -> {
            throw new IllegalArgumentException("port out of range:70000");
        };
        Runnable error = () -> {
            throw new StackOverflowError();
        };
        return new Object[][] {{exception}, {error}};
    }

    // Guards against an error that no log line tells: what was to follow the action never came, and nothing said why.
    @Test(dataProvider = "throwingActions")
    public void whatAnActionThrowsIsLoggedAndTheNextActionRuns(Runnable throwing) throws InterruptedException {
        CountDownLatch nextRan = new CountDownLatch(1);
        executor.execute(throwing);
        executor.schedule(Duration.ZERO, throwing);
        executor.schedule(Duration.ofMillis(1), nextRan::countDown);
        assertTrue(nextRan.await(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(written, List.of(Event.INTERNAL_ERROR, Event.INTERNAL_ERROR));
    }

    // Guards against traffic that stands still without a line: the thread of a transport drops what its actions throw.
    @Test(dataProvider = "throwingActions")
    public void whatAnActionThrowsOnTheThreadOfATransportIsLogged(Runnable throwing) throws InterruptedException {
        try (NettyTransport transport = NettyTransport.create("test", 1, (event, details) -> {})) {
            SingleThreadExecutor traffic =
                    SingleThreadExecutor.on(transport.thread(), "traffic", (event, details) -> written.add(event));
            CountDownLatch nextRan = new CountDownLatch(1);
            traffic.execute(throwing);
            traffic.schedule(Duration.ZERO, throwing);
            traffic.schedule(Duration.ofMillis(1), nextRan::countDown);
            assertTrue(nextRan.await(WAIT_SECONDS, TimeUnit.SECONDS));
        }
        assertEquals(written, List.of(Event.INTERNAL_ERROR, Event.INTERNAL_ERROR));
    }

    // Guards against a check, such as that of the connections, that ended for good when it threw once.
    @Test(dataProvider = "throwingActions")
    public void aPeriodicActionThatThrowsOnceRunsAgain(Runnable throwing) throws InterruptedException {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch ranThrice = new CountDownLatch(3);
        executor.scheduleWithFixedDelay(Duration.ofMillis(1), () -> {
            ranThrice.countDown();
            if (runs.incrementAndGet() == 1) {
                throwing.run();
            }
            return runs.get() < 3;
        });
        assertTrue(ranThrice.await(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(written, List.of(Event.INTERNAL_ERROR));
    }
}
