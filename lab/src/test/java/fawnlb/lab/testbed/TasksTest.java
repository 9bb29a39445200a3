package fawnlb.lab.testbed;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.Rule;
import org.junit.Test;

public class TasksTest {
    @Rule
    public final IoThread io = new IoThread();

    @Test
    public void parallelResultsComeInTheOrderOfTheirTasks() throws Exception {
        List<Integer> progress = new ArrayList<>();
        List<Callable<String>> tasks = List.of(() -> "a", () -> "b", () -> "c");
        assertEquals(List.of("a", "b", "c"), Tasks.runInParallel(2, tasks, progress::add));
        assertEquals(List.of(1, 2, 3), progress);
    }

    @Test
    public void ioErrorOfATaskReachesItsCaller() {
        IOException failure = new IOException("a port is taken");
        IOException thrown = assertThrows(
                IOException.class,
                () -> Tasks.runOn(io.worker(), () -> {
                    throw failure;
                }));
        assertSame(failure, thrown);
    }

    @Test
    public void bugInATaskReachesItsCallerAsIllegalState() {
        IllegalArgumentException bug = new IllegalArgumentException("negative delay");
        IllegalStateException thrown = assertThrows(
                IllegalStateException.class,
                () -> Tasks.runOn(io.worker(), () -> {
                    throw bug;
                }));
        assertSame(bug, thrown.getCause());
    }

    @Test
    public void taskThatDoesNotEndInTimeIsAnIoError() {
        assertThrows(IOException.class, () -> Tasks.await(new CompletableFuture<>(), 0));
    }
}
