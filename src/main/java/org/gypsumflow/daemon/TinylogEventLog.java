package org.gypsumflow.daemon;

import java.util.EnumMap;
import java.util.Map;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.tinylog.Logger;

/** Writes numbered events with tinylog; bounds how many lines of one event a second may bring. */
final class TinylogEventLog implements EventLog {
    /** Most lines of one event in a second; a reader follows no more, and writing them takes time from requests. */
    private static final int MOST_LINES_A_SECOND = 40;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static final class Budget {
        private long startedNanos = System.nanoTime();
        private int lines;
        private int dropped;
    }

    private final Map<Event, Budget> budgets = new EnumMap<>(Event.class);

    @Override
    public void write(Event event, Object... details) {
        int droppedBefore = spend(event);
        if (droppedBefore < 0) {
            return;
        }
        if (droppedBefore > 0) {
            print(Event.LOG_LINES_DROPPED, droppedBefore, event.number());
        }
        print(event, details);
    }

    /** Returns how many lines were left out in the second that has ended, or -1 if this line is to be left out. */
    private synchronized int spend(Event event) {
        Budget budget = budgets.computeIfAbsent(event, first -> new Budget());
        long now = System.nanoTime();
        int droppedBefore = 0;
        if (now - budget.startedNanos > NANOS_PER_SECOND) {
            droppedBefore = budget.dropped;
            budget.startedNanos = now;
            budget.lines = 0;
            budget.dropped = 0;
        }
        budget.lines++;
        if (budget.lines > MOST_LINES_A_SECOND) {
            budget.dropped++;
            return -1;
        }
        return droppedBefore;
    }

    private static void print(Event event, Object... details) {
        String text = "GF" + event.number() + " " + event.template();
        switch (event.level()) {
            case INFO -> Logger.info(text, details);
            case WARN -> Logger.warn(text, details);
            case ERROR -> Logger.error(text, details);
        }
    }
}
