package org.gypsumflow.command.sharing;

import java.time.Duration;

/** A sum whose addends lose weight with their age; divided by its time constant, it is a rate. */
final class DecayingSum {
    private final double timeConstantNanos;
    private double value;
    private long updatedNanos;

    private DecayingSum(Duration timeConstant) {
        this.timeConstantNanos = timeConstant.toNanos();
    }

    /** Creates an empty sum, in which an addend weighs 1/e after the time constant. */
    static DecayingSum create(Duration timeConstant) {
        return new DecayingSum(timeConstant);
    }

    void add(double addend, long nowNanos) {
        value = value(nowNanos) + addend;
        updatedNanos = nowNanos;
    }

    double value(long nowNanos) {
        return value * Math.exp(-Math.max(0, nowNanos - updatedNanos) / timeConstantNanos);
    }
}
