package fawnlb.eventloop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.Test;

public class MailboxTest {
    private final Deque<Runnable> executor = new ArrayDeque<>();
    private final List<Integer> processed = new ArrayList<>();

    private void runAll() {
        while (!executor.isEmpty()) {
            executor.poll().run();
        }
    }

    @Test
    public void messagesRunInOrderAndOneFailureDoesNotStopTheOthers() {
        Mailbox mailbox = new Mailbox(executor::add, 500);
        for (int i = 0; i < 200; i++) {
            int number = i;
            mailbox.tell(() -> {
                processed.add(number);
                if (number == 3) {
                    throw new IllegalStateException("meant to fail");
                }
            });
        }
        assertEquals("one turn at a time", 1, executor.size());
        runAll();
        assertEquals(200, processed.size());
        assertEquals(processed.stream().sorted().toList(), processed);
    }

    @Test
    public void fullMailboxRejectsMessages() {
        Mailbox mailbox = new Mailbox(executor::add, 2);
        assertTrue(mailbox.tell(() -> processed.add(1)) && mailbox.tell(() -> processed.add(2)));
        assertFalse(mailbox.tell(() -> processed.add(3)));
        runAll();
        assertEquals(List.of(1, 2), processed);
        assertTrue(mailbox.tell(() -> processed.add(4)));
    }

    @Test
    public void failureCallbackRunsWhenMessageThrows() {
        Mailbox mailbox = new Mailbox(executor::add, 9);
        Runnable fault = () -> {
            throw new IllegalStateException("meant to fail");
        };
        mailbox.tell(fault, () -> processed.add(1));
        mailbox.tell(fault, fault);
        mailbox.tell(() -> processed.add(2), () -> processed.add(3));
        runAll();
        assertEquals(List.of(1, 2), processed);
    }
}
