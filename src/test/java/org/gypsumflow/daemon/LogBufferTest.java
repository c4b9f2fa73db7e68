package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

public final class LogBufferTest {
    private static final int CAPACITY_BYTES = 100;
    private static final String LINE = "0123456789\n";
    private static final Duration LONG = Duration.ofSeconds(30);

    /** Output whose writer waits until the test lets it be read. */
    private static final class UnreadOutput extends OutputStream {
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private final CountDownLatch writerArrived = new CountDownLatch(1);
        private final CountDownLatch read = new CountDownLatch(1);

        @Override
        public void write(int character) {
            write(new byte[] {(byte) character}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            writerArrived.countDown();
            try {
                read.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            content.write(bytes, offset, length);
        }
    }

    private final BlockingQueue<Long> reportedDrops = new LinkedBlockingQueue<>();

    private LogBuffer startBuffer(OutputStream output) {
        reportedDrops.clear();
        return LogBuffer.start(output, CAPACITY_BYTES, Duration.ZERO, reportedDrops::add);
    }

    /** Adds a line and waits until the buffer's thread waits for the reader of it. */
    private static void blockWriter(LogBuffer buffer, UnreadOutput output) throws InterruptedException {
        buffer.add(LINE);
        assertTrue(output.writerArrived.await(LONG.toSeconds(), TimeUnit.SECONDS));
    }

    @Test
    public void linesAreWrittenInTheirOrder() throws InterruptedException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        LogBuffer buffer = startBuffer(output);
        List.of("a\n", "b\n", "c\n").forEach(buffer::add);
        buffer.awaitWritten(LONG);
        assertEquals(output.toString(StandardCharsets.UTF_8), "a\nb\nc\n");
    }

    // Guards against a process that hangs while nobody reads its log.
    @Test
    public void linesBeyondTheCapacityAreDroppedWithoutWaitingForTheReader() throws InterruptedException {
        UnreadOutput output = new UnreadOutput();
        LogBuffer buffer = startBuffer(output);
        blockWriter(buffer, output);
        int lines = 20;
        for (int line = 0; line < lines; line++) {
            buffer.add(LINE);
        }
        int kept = CAPACITY_BYTES / LINE.length();
        assertEquals(buffer.droppedLines(), lines - kept);
        output.read.countDown();
        buffer.awaitWritten(LONG);
        assertEquals(output.content.size(), (1 + kept) * LINE.length());
    }

    @Test
    public void droppedLinesAreReportedOnceTheOutputIsReadAgain() throws InterruptedException {
        UnreadOutput output = new UnreadOutput();
        LogBuffer buffer = startBuffer(output);
        blockWriter(buffer, output);
        buffer.add("x".repeat(CAPACITY_BYTES));
        buffer.add(LINE);
        buffer.add(LINE);
        assertTrue(reportedDrops.isEmpty());
        output.read.countDown();
        assertEquals(reportedDrops.poll(LONG.toSeconds(), TimeUnit.SECONDS), Long.valueOf(2));
        buffer.awaitWritten(LONG);
        assertTrue(reportedDrops.isEmpty());
    }

    // Guards against dropped lines that nobody learns of: the line that tells their number found the buffer full.
    @Test
    public void theLineThatTellsTheNumberOfDroppedLinesIsNotDroppedItself() throws InterruptedException {
        UnreadOutput output = new UnreadOutput();
        AtomicReference<LogBuffer> buffer = new AtomicReference<>();
        buffer.set(LogBuffer.start(
                output, CAPACITY_BYTES, Duration.ZERO, drops -> buffer.get().add("dropped " + drops + "\n")));
        blockWriter(buffer.get(), output);
        buffer.get().add("x".repeat(CAPACITY_BYTES));
        buffer.get().add(LINE);
        output.read.countDown();
        buffer.get().awaitWritten(LONG);
        assertTrue(output.content.toString(StandardCharsets.UTF_8).endsWith("xdropped 1\n"));
        assertEquals(buffer.get().droppedLines(), 1);
    }

    // Guards against a process that does not stop while nobody reads its log.
    @Test
    public void theLastLinesAreAwaitedForABoundedTimeOnly() throws InterruptedException {
        UnreadOutput output = new UnreadOutput();
        LogBuffer buffer = startBuffer(output);
        blockWriter(buffer, output);
        buffer.awaitWritten(Duration.ofMillis(1));
        assertEquals(output.content.size(), 0);
        output.read.countDown();
    }
}
