package lupinvalve.drills;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of all poolers, a session each, which ask as their habits are and tell the book what came of it. */
final class SqlClients {
    private static final int DEADLINE = 2_000, SLACK = 500, PROBE = 1_000;
    /** After a connection that did not come up or has ended: a process that starts gets its clients back at once. */
    private static final long AGAIN_MILLIS = 3;
    /** Who asks again at once after a refusal keeps the machine busy with nothing else. */
    private static final long AFTER_REFUSAL_MILLIS = 100;

    private static final int WRITE_ONE_IN = 4;
    private static final String REFUSED = "53300", DRAINING = "57P03";
    private final Book book;
    private final Timing timing;
    private final int groups;
    private final AtomicLong numbers = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    SqlClients(Book book, Timing timing, int groups) {
        this.book = book;
        this.timing = timing;
        this.groups = groups;
    }

    /** Starts so many clients of a pooler. */
    void start(String pooler, int port, ClientHabits.Kind kind, int count, long seed) {
        for (int i = 0; i < count; i++) {
            ClientHabits habits = new ClientHabits(kind, new Random(seed * 31 + i));
            threads.add(Threads.start("client of " + pooler, () -> {
                while (!over) {
                    long pause = habits.readingPause();
                    try (SqlConnection connection = new SqlConnection(port, DEADLINE + SLACK, pause > 0)) {
                        connection.readsSlowly(pause);
                        new Session(connection, pooler, habits).run();
                    } catch (IOException e) {
                        Thread.sleep(AGAIN_MILLIS);
                    }
                }
            }));
        }
    }

    /** Whether a pooler takes clients. */
    static boolean takes(int port) {
        try {
            new SqlConnection(port, PROBE, false).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** One statement, and what it must be answered. */
    private record Asked(String id, String text, boolean write, boolean own, long after, int longValue) {}

    /** What a client does on one connection. */
    private final class Session {
        private final SqlConnection connection;
        private final String pooler;
        private final ClientHabits habits;
        private final int group;
        private long after;

        Session(SqlConnection connection, String pooler, ClientHabits habits) {
            this.connection = connection;
            this.pooler = pooler;
            this.habits = habits;
            group = habits.random().nextInt(groups);
        }

        void run() throws IOException, InterruptedException {
            while (!over) {
                boolean refused = turn();
                Thread.sleep(Math.max(habits.rest(), refused ? AFTER_REFUSAL_MILLIS : 0));
            }
        }

        /** Asks once; whether anything was refused. */
        private boolean turn() throws IOException, InterruptedException {
            if (connection.hasEnded()) {
                throw new EOFException();
            }
            List<Asked> asked = new ArrayList<>();
            for (int count = habits.atOnce(); count > 0; count--) {
                asked.add(next(asked.isEmpty()));
            }
            asked.forEach(one -> book.asked(one.id, pooler, one.write, System.currentTimeMillis()));
            int answered = 0;
            boolean refused = false;
            Book.Ending rest = Book.Ending.NOT_TAKEN;
            try {
                connection.send(asked.stream().map(Asked::text).toList());
                // An end that is there right after the write may have been there before it; answers that came ahead of
                // it count.
                if (!connection.hasEnded()) {
                    rest = Book.Ending.ENDED;
                    int leaves = habits.leavesAfter();
                    if (leaves >= 0) {
                        rest = Book.Ending.LEFT;
                        leave(asked, leaves);
                    }
                }
                for (; answered < asked.size(); answered++) {
                    Asked one = asked.get(answered);
                    Book.Ending ending = judged(one, connection.answer());
                    refused |= ending == Book.Ending.REFUSED;
                    book.ended(one.id, ending, System.currentTimeMillis());
                }
                return refused;
            } catch (SocketTimeoutException e) {
                rest = Book.Ending.SILENT;
                throw e;
            } catch (EOFException e) {
                throw e;
            } catch (IOException e) {
                rest = rest == Book.Ending.ENDED ? Book.Ending.RESET : rest;
                throw e;
            } finally {
                for (Asked one : asked.subList(answered, asked.size())) {
                    book.ended(one.id, rest, System.currentTimeMillis());
                }
            }
        }

        private void leave(List<Asked> asked, int afterMillis) throws IOException, InterruptedException {
            Thread.sleep(afterMillis);
            connection.leave(habits.random().nextBoolean());
            asked.forEach(one -> timing.left(one.id, System.currentTimeMillis()));
            throw new EOFException();
        }

        /**
         * @param mayBeLong one long value a turn: who takes seconds for what he asked at once holds the pooler's end
         *     until it is killed
         */
        private Asked next(boolean mayBeLong) {
            String id = "q" + numbers.incrementAndGet();
            boolean write = habits.random().nextInt(WRITE_ONE_IN) == 0;
            boolean own = !write && habits.random().nextBoolean();
            int longValue = write || !mayBeLong ? 0 : habits.longValue();
            long token = own ? after : 0;
            String key = longValue > 0 ? LongValues.key(longValue) : "s" + group;
            String text = (write
                            ? "INSERT INTO rows (handle, blob) VALUES ('" + key + "', '\\x9f') RETURNING blob"
                            : "SELECT blob FROM rows WHERE handle = '" + key + "'")
                    + " /* id=" + id + ",c="
                    + (write ? "pickup-booking" : own ? "own-order-view" : "bag-status") + ",t=almaty-branch,d="
                    + DEADLINE
                    + ",cluster=" + group + (token > 0 ? ",after=" + token : "") + " */";
            return new Asked(id, text, write, own, token, longValue);
        }

        private Book.Ending judged(Asked one, SqlConnection.Answer answer) {
            if (answer.code() != null || answer.value() == null) {
                boolean refused = REFUSED.equals(answer.code()) || DRAINING.equals(answer.code());
                return refused ? Book.Ending.REFUSED : Book.Ending.FAILED;
            }
            long position = LongValues.position(answer.value());
            if (one.write) {
                after = Math.max(after, position);
            } else if (one.own && position < one.after) {
                book.stale(one.id, one.after, position);
            }
            if (one.longValue > 0 && !LongValues.isWhole(answer.value(), one.longValue)) {
                book.spoilt(one.id, answer.value().length());
            }
            return Book.Ending.SERVED;
        }
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(DEADLINE + 2 * SLACK);
        }
    }
}
