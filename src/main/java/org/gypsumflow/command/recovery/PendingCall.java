package org.gypsumflow.command.recovery;

import java.time.Duration;

/** A call to the worker without a usable response, with the copies of it that were sent. */
public final class PendingCall {
    private final CallKind kind;
    private final Duration maxWait;
    private final long sentNanos;
    private long lastSentNanos;
    private int copies = 1;
    private boolean repeatable = true;

    PendingCall(CallKind kind, Duration maxWait, long sentNanos) {
        this.kind = kind;
        this.maxWait = maxWait;
        this.sentNanos = sentNanos;
        this.lastSentNanos = sentNanos;
    }

    /**
     * Returns the kind of the call.
     *
     * @return the kind
     */
    public CallKind kind() {
        return kind;
    }

    /**
     * Returns how many copies of the call were sent.
     *
     * @return the number, at least 1
     */
    public int copies() {
        return copies;
    }

    /** Sends no more copies of this call, because its effect is not wanted any more or would not be safe. */
    public void stopRepeating() {
        repeatable = false;
    }

    /**
     * Returns the time since the first copy was sent.
     *
     * @param nowNanos current monotonic time
     * @return the time
     */
    public Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - sentNanos);
    }

    Duration maxWait() {
        return maxWait;
    }

    long sentNanos() {
        return sentNanos;
    }

    long lastSentNanos() {
        return lastSentNanos;
    }

    boolean isRepeatable() {
        return repeatable;
    }

    void repeated(long nowNanos) {
        copies++;
        lastSentNanos = nowNanos;
    }
}
