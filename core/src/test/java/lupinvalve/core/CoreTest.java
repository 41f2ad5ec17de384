package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The tables and the statement, where a mistake would show only now and then on sockets. */
class CoreTest {
    @Test
    void a_late_event_finds_nothing_once_its_slot_is_used_again() {
        HandleTable<String> table = new HandleTable<>(2);
        long first = table.put("first");
        assertEquals("first", table.remove(first));
        long second = table.put("second");
        assertNull(table.get(first));
        assertNull(table.remove(first));
        assertEquals("second", table.get(second));
        table.put("third");
        assertTrue(table.isFull());
        assertThrows(IllegalStateException.class, () -> table.put("fourth"));
    }

    @Test
    void timers_run_in_order_and_not_after_they_are_cancelled() {
        TimerQueue timers = new TimerQueue();
        List<String> ran = new ArrayList<>();
        timers.schedule(20, () -> ran.add("late"));
        timers.schedule(10, () -> ran.add("first"));
        TimerQueue.Timer cancelled = timers.schedule(10, () -> ran.add("cancelled"));
        timers.schedule(10, () -> ran.add("second"));
        timers.cancel(cancelled);
        assertEquals(10, timers.nextAtMicros());
        for (Runnable due = timers.pollDue(15); due != null; due = timers.pollDue(15)) {
            due.run();
        }
        assertEquals(List.of("first", "second"), ran);
    }

    @Test
    void what_is_urgent_goes_before_all_that_waits_and_keeps_its_order() throws InterruptedException {
        EventLoop loop = new EventLoop();
        List<String> ran = new java.util.concurrent.CopyOnWriteArrayList<>();
        java.util.concurrent.CountDownLatch over = new java.util.concurrent.CountDownLatch(1);
        loop.post(() -> ran.add("request"));
        loop.post(() -> loop.postUrgent(() -> ran.add("told meanwhile")));
        loop.post(() -> ran.add("last request"));
        loop.post(over::countDown);
        loop.postUrgent(() -> ran.add("told"));
        loop.postUrgent(() -> ran.add("told again"));
        loop.start();
        over.await();
        assertEquals(List.of("told", "told again", "request", "told meanwhile", "last request"), ran);
        java.util.concurrent.CountDownLatch woken = new java.util.concurrent.CountDownLatch(1);
        loop.postUrgent(woken::countDown);
        assertTrue(woken.await(10, java.util.concurrent.TimeUnit.SECONDS), "it wakes a thread that waits");
        loop.stop();
    }

    @Test
    void a_statement_keeps_its_bytes_but_for_the_wait() {
        String text = "INSERT INTO rows VALUES ('it''s', '\\x00') /* d=1 */ RETURNING blob /* id=9,d=480 , c=x */";
        Statement statement = new Statement(text.getBytes(StandardCharsets.UTF_8));
        assertEquals("it''s", statement.key());
        assertEquals("x", statement.field("c"));
        assertEquals(text.replace("d=480", "d=12"), new String(statement.bytes(12_900), StandardCharsets.UTF_8));
        Statement bare = new Statement("SELECT '".getBytes(StandardCharsets.UTF_8));
        assertNull(bare.key());
        assertFalse(bare.bytes(5).length == 0);
    }
}
