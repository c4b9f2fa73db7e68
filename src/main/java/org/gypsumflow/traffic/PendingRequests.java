package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.RequestId;

/** Matches answers of other processes to the questions of this one; safe for use by several threads. */
final class PendingRequests {
    /** Fails a question whose connection ended or whose time ran out; whether it was carried out is unknown. */
    static final class NoReplyException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NoReplyException(String message) {
            super(message);
        }
    }

    private record Open(Connection link, CompletableFuture<Message> answer) {}

    private final AtomicLong counter = new AtomicLong();
    private final Map<RequestId, Open> open = new ConcurrentHashMap<>();

    private PendingRequests() {}

    static PendingRequests create() {
        return new PendingRequests();
    }

    CompletableFuture<Message> send(
            Connection link, SerialExecutor lane, Duration timeout, Function<RequestId, Message> question) {
        RequestId request = RequestId.of(counter.incrementAndGet());
        CompletableFuture<Message> answer = new CompletableFuture<>();
        open.put(request, new Open(link, answer));
        answer.whenComplete((message, failure) -> open.remove(request));
        lane.schedule(timeout, () -> answer.completeExceptionally(new NoReplyException("no answer in time")));
        link.send(question.apply(request));
        return answer;
    }

    void complete(RequestId request, Connection link, Message message) {
        Open question = open.get(request);
        if (question != null && question.link().equals(link)) {
            question.answer().complete(message);
        }
    }

    void failRequestsOn(Connection link) {
        open.values().forEach(question -> {
            if (question.link().equals(link)) {
                question.answer().completeExceptionally(new NoReplyException("the connection ended"));
            }
        });
    }
}
