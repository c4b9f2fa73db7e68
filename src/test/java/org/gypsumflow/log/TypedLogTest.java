package org.gypsumflow.log;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.LogRecord;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.model.StreamName;
import org.testng.annotations.Test;

public final class TypedLogTest {
    private static final class OnePageLog implements PlatformLog {
        @Override
        public CompletableFuture<AppendResult> append(StreamName stream, byte[] body) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Page<byte[]>> read(StreamName stream, long fromOffset, int maxRecords) {
            List<LogRecord<byte[]>> records = List.of(entry(0, "1"), entry(1, "?"), entry(2, "3"));
            return CompletableFuture.completedFuture(new Page<>(0, 3, records));
        }

        private static LogRecord<byte[]> entry(long offset, String text) {
            return new LogRecord<>(offset, 0, text.getBytes(StandardCharsets.UTF_8));
        }
    }

    // Guards against a process that stops following a stream: another writer left one record that cannot be decoded.
    @Test
    public void aRecordThatCannotBeDecodedDoesNotHideTheOthersOfItsPage() {
        TypedLog<Integer> log = TypedLog.of(
                new OnePageLog(),
                StreamName.MEMBERS,
                number -> new byte[0],
                body -> Integer.parseInt(new String(body, StandardCharsets.UTF_8)));
        CompletableFuture<List<Integer>> numbers =
                log.read(0, 10).handle((page, failure) -> failure == null ? bodies(page) : List.of());
        assertEquals(numbers.join(), List.of(1, 3));
    }

    private static List<Integer> bodies(Page<Integer> page) {
        return page.records().stream().map(LogRecord::body).toList();
    }
}
