package org.gypsumflow.log;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.LogRecord;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.model.StreamName;
import org.testng.annotations.Test;

public final class TypedLogTest {
    private record OnePageLog(List<LogRecord<byte[]>> records) implements PlatformLog {
        private static OnePageLog of(String... bodies) {
            List<LogRecord<byte[]>> records = new ArrayList<>();
            for (String body : bodies) {
                records.add(new LogRecord<>(records.size(), 0, body.getBytes(StandardCharsets.UTF_8)));
            }
            return new OnePageLog(records);
        }

        @Override
        public CompletableFuture<AppendResult> append(StreamName stream, byte[] body) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Page<byte[]>> read(StreamName stream, long fromOffset, int maxRecords) {
            return CompletableFuture.completedFuture(Page.of(0, records.size(), records));
        }
    }

    // Guards against a process that stops following a stream: another writer left one record that cannot be decoded.
    @Test
    public void aRecordThatCannotBeDecodedDoesNotHideTheOthersOfItsPage() {
        List<Long> skippedOffsets = new ArrayList<>();
        TypedLog<Integer> log = numbers(OnePageLog.of("1", "?", "3"), skippedOffsets);
        CompletableFuture<List<Integer>> numbers =
                log.read(0, 10).handle((page, failure) -> failure == null ? bodies(page) : List.of());
        assertEquals(numbers.join(), List.of(1, 3));
        assertEquals(skippedOffsets, List.of(1L));
    }

    // Guards against a reader that reads the same page for ever: the last record of a stream cannot be decoded.
    @Test
    public void aPageThatEndsWithARecordThatCannotBeDecodedIsReadOnlyOnce() {
        TypedLog<Integer> log = numbers(OnePageLog.of("1", "?"), new ArrayList<>());
        Page<Integer> page = log.read(0, 10).join();
        assertEquals(page.nextOffset(), page.headOffset());
    }

    private static TypedLog<Integer> numbers(PlatformLog log, List<Long> skippedOffsets) {
        return TypedLog.of(
                log,
                StreamName.MEMBERS,
                number -> new byte[0],
                body -> Integer.parseInt(new String(body, StandardCharsets.UTF_8)),
                (stream, offset, failure) -> skippedOffsets.add(offset));
    }

    private static List<Integer> bodies(Page<Integer> page) {
        return page.records().stream().map(LogRecord::body).toList();
    }
}
