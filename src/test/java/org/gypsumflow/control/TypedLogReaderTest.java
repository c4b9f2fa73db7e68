package org.gypsumflow.control;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.log.TypedLog;
import org.testng.annotations.Test;

public final class TypedLogReaderTest {
    private static final class EmptyLog implements TypedLog<String> {
        @Override
        public CompletableFuture<AppendResult> append(String body) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException());
        }

        @Override
        public CompletableFuture<Page<String>> read(long fromOffset, int maxRecords) {
            return CompletableFuture.completedFuture(Page.of(0, 0, List.of()));
        }
    }

    // Guards against an entry that polls its streams no more: a read whose page could not be applied never ended.
    @Test
    public void aReadEndsWithAFailureIfItsPageCannotBeApplied() {
        CompletableFuture<Void> read = TypedLogReader.readToHead(
                new EmptyLog(), new ManualExecutor(), Duration.ofSeconds(1), () -> 0, page -> {
                    throw new IllegalArgumentException("odd record");
                });
        assertTrue(read.isCompletedExceptionally());
    }
}
