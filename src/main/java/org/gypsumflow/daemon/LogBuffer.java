package org.gypsumflow.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.LongConsumer;

/**
 * Lines of the log that wait until a thread of their own has written them. Adding a line never waits for the reader of the
 * log: while nobody reads it, the buffer fills up, and further lines are dropped and counted.
 */
final class LogBuffer {
    private final OutputStream output;
    private final int capacityBytes;
    private final Duration collectionTime;
    private final LongConsumer dropListener;
    private ByteArrayOutputStream waiting = new ByteArrayOutputStream();
    private ByteArrayOutputStream spare = new ByteArrayOutputStream();
    private boolean writing;
    private long unreportedDrops;
    private long droppedLines;

    private LogBuffer(OutputStream output, int capacityBytes, Duration collectionTime, LongConsumer dropListener) {
        this.output = output;
        this.capacityBytes = capacityBytes;
        this.collectionTime = collectionTime;
        this.dropListener = dropListener;
    }

    /**
     * Creates a buffer and starts the thread that empties it.
     *
     * @param output where the lines are written; only that thread waits for its reader
     * @param capacityBytes maximum size of the lines that wait; as many may be under way to the output
     * @param collectionTime time after the first line before the waiting lines are written together
     * @param dropListener called on the thread with the number of dropped lines, once the buffer has room again
     * @return the buffer
     */
    static LogBuffer start(OutputStream output, int capacityBytes, Duration collectionTime, LongConsumer dropListener) {
        LogBuffer buffer = new LogBuffer(output, capacityBytes, collectionTime, dropListener);
        Thread writer = new Thread(buffer::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
        return buffer;
    }

    /**
     * Adds text to the log, or drops it if the buffer is full.
     *
     * @param line one line or several, with the line break at the end
     */
    void add(String line) {
        byte[] encoded = line.getBytes(StandardCharsets.UTF_8);
        synchronized (this) {
            if (waiting.size() + encoded.length > capacityBytes) {
                droppedLines++;
                unreportedDrops++;
                return;
            }
            boolean first = waiting.size() == 0;
            waiting.write(encoded, 0, encoded.length);
            if (first) {
                notifyAll();
            }
        }
    }

    /**
     * Waits until all lines have been written.
     *
     * @param maxWait time after which it returns, since the output may have no reader
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    synchronized void awaitWritten(Duration maxWait) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + maxWait.toNanos();
        while (waiting.size() > 0 || writing) {
            long leftMillis =
                    Duration.ofNanos(deadlineNanos - System.nanoTime()).toMillis();
            if (leftMillis <= 0) {
                return;
            }
            wait(leftMillis);
        }
    }

    /**
     * Returns how many lines were dropped.
     *
     * @return number of lines since the start
     */
    synchronized long droppedLines() {
        return droppedLines;
    }

    private void writeLines() {
        try {
            while (true) {
                awaitLines();
                Thread.sleep(collectionTime.toMillis());
                writeWaitingLines();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void awaitLines() throws InterruptedException {
        while (waiting.size() == 0) {
            wait();
        }
    }

    private void writeWaitingLines() {
        ByteArrayOutputStream lines;
        long drops;
        synchronized (this) {
            lines = waiting;
            waiting = spare;
            writing = true;
            drops = unreportedDrops;
            unreportedDrops = 0;
        }
        // The buffer is empty now, so that it has room for a line about those that were dropped.
        if (drops > 0) {
            dropListener.accept(drops);
        }
        try {
            lines.writeTo(output);
            output.flush();
        } catch (IOException closed) {
            // There is nowhere left to report that the log cannot be written.
        }
        lines.reset();
        synchronized (this) {
            spare = lines;
            writing = false;
            notifyAll();
        }
    }
}
