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

/** The core's tables, event loop and statement parser, whose faults would rarely show in tests over sockets. */
class CoreTest {
    @Test
    void a_stale_handle_finds_nothing_after_its_slot_is_reused() {
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
    void timers_run_in_order_unless_they_are_cancelled() {
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
    void urgent_tasks_run_before_queued_tasks_in_the_order_of_posting() throws InterruptedException {
        EventLoop loop = new EventLoop();
        List<String> ran = new java.util.concurrent.CopyOnWriteArrayList<>();
        java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(1);
        loop.post(() -> ran.add("request"));
        loop.post(() -> loop.postUrgent(() -> ran.add("urgent, posted by a task")));
        loop.post(() -> ran.add("last request"));
        loop.post(done::countDown);
        loop.postUrgent(() -> ran.add("first urgent"));
        loop.postUrgent(() -> ran.add("second urgent"));
        loop.start();
        done.await();
        assertEquals(
                List.of("first urgent", "second urgent", "request", "urgent, posted by a task", "last request"), ran);
        java.util.concurrent.CountDownLatch woken = new java.util.concurrent.CountDownLatch(1);
        loop.postUrgent(woken::countDown);
        assertTrue(
                woken.await(10, java.util.concurrent.TimeUnit.SECONDS), "an urgent task must wake the waiting thread");
        loop.stop();
    }

    /** Guards against statements of very many short fields, which took many times their bytes of memory. */
    @Test
    void fieldsThatAreNotReadAreNotKept() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 100_000; i++) {
            fields.append('x').append(i).append("=,");
        }
        Statement statement = new Statement(
                ("SELECT 1 /* " + fields + " id =9, c=y,d=5*/").getBytes(StandardCharsets.UTF_8),
                SqlDialect.POSTGRESQL);
        assertEquals("9", statement.field("id"));
        assertEquals("y", statement.field("c"));
        assertNull(statement.field("x7"));
        statement.set("x8", "1");
        assertNull(statement.field("x8"));
        statement.set("c", "z");
        assertEquals("z", statement.field("c"));
    }

    /** Guards against clients that choose how much is kept of their sessions. */
    @Test
    void longSessionKeysAreKeptAsDigests() {
        String key = "k".repeat(100_000);
        String kept = new Statement(("SELECT '" + key + "'").getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL)
                .sessionKey();
        String other = new Statement(("SELECT '" + key + "l'").getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL)
                .sessionKey();
        assertTrue(kept.length() <= 64, kept);
        assertFalse(kept.equals(other));
        assertEquals(
                kept,
                new Statement(("SELECT '" + key + "'").getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL)
                        .sessionKey());
    }

    @Test
    void a_statement_keeps_its_bytes_except_for_the_timeout() {
        String text = "INSERT INTO rows VALUES ('it''s', '\\x00') /* d=1 */ RETURNING blob /* id=9,d=480 , c=x */";
        Statement statement = new Statement(text.getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL);
        assertEquals("it's", statement.sessionKey());
        assertEquals("x", statement.field("c"));
        assertEquals(text.replace("d=480", "d=12"), new String(statement.bytes(12_900), StandardCharsets.UTF_8));
        Statement withoutFields = new Statement("SELECT '".getBytes(StandardCharsets.UTF_8), SqlDialect.POSTGRESQL);
        assertNull(withoutFields.sessionKey());
        assertFalse(withoutFields.bytes(5).length == 0);
    }
}
