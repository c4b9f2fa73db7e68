package org.gypsumflow.daemon;

import java.util.EnumMap;
import java.util.Map;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.tinylog.Logger;

/** Event log that writes with tinylog and limits the number of lines per second for each event. */
final class TinylogEventLog implements EventLog {
    /**
     * Maximum lines per second for one event; a reader cannot follow more, and writing them takes time from requests.
     */
    private static final int MAX_LINES_PER_SECOND = 40;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static final class LineCount {
        private long secondStartedNanos = System.nanoTime();
        private int lines;
        private int dropped;
    }

    private final Map<Event, LineCount> countsByEvent = new EnumMap<>(Event.class);

    @Override
    public void write(Event event, Object... details) {
        int droppedBefore = countLine(event);
        if (droppedBefore < 0) {
            return;
        }
        if (droppedBefore > 0) {
            print(Event.LOG_LINES_DROPPED, droppedBefore, event.number());
        }
        print(event, details);
    }

    /**
     * Counts a line. Returns the number of lines dropped in the second that has just ended, or -1 if this line is to be
     * dropped.
     */
    private synchronized int countLine(Event event) {
        LineCount count = countsByEvent.computeIfAbsent(event, absent -> new LineCount());
        long now = System.nanoTime();
        int droppedBefore = 0;
        if (now - count.secondStartedNanos > NANOS_PER_SECOND) {
            droppedBefore = count.dropped;
            count.secondStartedNanos = now;
            count.lines = 0;
            count.dropped = 0;
        }
        count.lines++;
        if (count.lines > MAX_LINES_PER_SECOND) {
            count.dropped++;
            return -1;
        }
        return droppedBefore;
    }

    /** Writes an event whatever the rate of its lines. */
    static void print(Event event, Object... details) {
        String text = "GF" + event.number() + " " + event.template();
        switch (event.level()) {
            case INFO -> Logger.info(text, details);
            case WARN -> Logger.warn(text, details);
            case ERROR -> Logger.error(text, details);
        }
    }
}
