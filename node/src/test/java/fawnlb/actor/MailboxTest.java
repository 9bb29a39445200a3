package fawnlb.actor;

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
    private final List<Integer> ran = new ArrayList<>();

    private void runAll() {
        while (!executor.isEmpty()) {
            executor.poll().run();
        }
    }

    @Test
    public void messagesRunInOrderAndAFaultEndsOnlyItself() {
        Mailbox mailbox = new Mailbox(executor::add, 500);
        for (int i = 0; i < 200; i++) {
            int number = i;
            mailbox.tell(() -> {
                ran.add(number);
                if (number == 3) {
                    throw new IllegalStateException("meant to fail");
                }
            });
        }
        assertEquals("one turn at a time", 1, executor.size());
        runAll();
        assertEquals(200, ran.size());
        assertEquals(ran.stream().sorted().toList(), ran);
    }

    @Test
    public void aFullMailboxTakesNoMore() {
        Mailbox mailbox = new Mailbox(executor::add, 2);
        assertTrue(mailbox.tell(() -> ran.add(1)) && mailbox.tell(() -> ran.add(2)));
        assertFalse(mailbox.tell(() -> ran.add(3)));
        runAll();
        assertEquals(List.of(1, 2), ran);
        assertTrue(mailbox.tell(() -> ran.add(4)));
    }

    @Test
    public void whoeverWaitsForAMessageHearsThatItFailed() {
        Mailbox mailbox = new Mailbox(executor::add, 9);
        Runnable fault = () -> {
            throw new IllegalStateException("meant to fail");
        };
        mailbox.tell(fault, () -> ran.add(1));
        mailbox.tell(fault, fault);
        mailbox.tell(() -> ran.add(2), () -> ran.add(3));
        runAll();
        assertEquals(List.of(1, 2), ran);
    }
}
