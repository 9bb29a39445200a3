package fawnlb.eventloop;

import static org.junit.Assert.assertEquals;

import fawnlb.CapturedLog;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class UncaughtErrorHandlerTest {
    private final List<String> ran = new ArrayList<>();

    private static void fail() {
        throw new IllegalStateException("meant to fail");
    }

    @Test
    public void taskThatSucceedsLogsNothing() {
        try (CapturedLog log = new CapturedLog(UncaughtErrorHandler.class.getName())) {
            UncaughtErrorHandler.run(() -> ran.add("task"), "task failed", () -> ran.add("failure"));

            assertEquals(List.of("task"), ran);
            assertEquals(List.of(), log.lines());
        }
    }

    @Test
    public void taskThatThrowsIsLoggedAndFollowedByItsCallback() {
        try (CapturedLog log = new CapturedLog(UncaughtErrorHandler.class.getName())) {
            UncaughtErrorHandler.run(UncaughtErrorHandlerTest::fail, "task failed", () -> ran.add("failure"));

            assertEquals(List.of("failure"), ran);
            assertEquals(List.of("task failed"), log.lines());
        }
    }

    @Test
    public void errorsAreHandledAsExceptionsAre() {
        Runnable task = () -> {
            throw new AssertionError("meant to fail");
        };

        UncaughtErrorHandler.run(task, "task failed", () -> ran.add("failure"));

        assertEquals(List.of("failure"), ran);
    }

    @Test
    public void callbackThatThrowsIsLoggedToo() {
        try (CapturedLog log = new CapturedLog(UncaughtErrorHandler.class.getName())) {
            UncaughtErrorHandler.run(UncaughtErrorHandlerTest::fail, "task failed", UncaughtErrorHandlerTest::fail);

            assertEquals(List.of("task failed", "handling a failure failed too"), log.lines());
        }
    }
}
