package lupinvalve.drills;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients of one pooler: each sends one statement at a time with a deadline and a short rest after it. Half of
 * them keep their connections, the others open one for each statement and write the statement right behind the login.
 */
final class DeadlineClients {
    /** An answer that comes this long after the deadline is late: 0.5 s, and 50 ms on sockets. */
    private static final long LATE_MICROS = 550_000;

    private static final int MIN_DEADLINE_MILLIS = 400;
    private static final int MAX_DEADLINE_MILLIS = 1_200;
    /** After this long without an answer a request counts as lost. */
    private static final int SILENCE_MILLIS = 5_000;

    private static final int MAX_REST_MILLIS = 30;
    private static final int WRITE_ONE_IN = 5;
    private static final int JOIN_MILLIS = 2 * SILENCE_MILLIS;

    private final int port;
    private final long seed;
    private final FloodResult.Recorder recorder;
    private final AtomicLong lastId = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    /** @param seed selects deadlines and rests, and is a part of the requests' ids */
    DeadlineClients(int port, FloodResult.Recorder recorder, long seed) {
        this.port = port;
        this.seed = seed;
        this.recorder = recorder;
    }

    void start(int count) {
        for (int i = 0; i < count; i++) {
            boolean keepsConnection = i % 2 == 0;
            Random random = new Random(seed * 31 + i);
            threads.add(Threads.start("usual client", () -> run(keepsConnection, random)));
        }
    }

    private void run(boolean keepsConnection, Random random) throws InterruptedException, IOException {
        SqlConnection connection = null;
        while (!over) {
            connection = ask(connection, keepsConnection, random);
            Thread.sleep(1 + random.nextInt(MAX_REST_MILLIS));
        }
        close(connection);
    }

    /** Sends one statement and records how it ended; returns the connection to go on with, or null for a new one. */
    private SqlConnection ask(SqlConnection kept, boolean keepsConnection, Random random) throws IOException {
        int deadlineMillis = MIN_DEADLINE_MILLIS + random.nextInt(MAX_DEADLINE_MILLIS - MIN_DEADLINE_MILLIS + 1);
        String statement = statement(random, deadlineMillis);
        SqlConnection connection = kept;
        if (connection != null && connection.hasEnded()) {
            // The pooler may close a connection between requests.
            close(connection);
            connection = null;
        }
        long sentNanos = System.nanoTime();
        try {
            if (connection == null) {
                connection = new SqlConnection(port, SILENCE_MILLIS, false, List.of(statement));
            } else {
                connection.send(List.of(statement));
            }
            SqlConnection.Answer answer = connection.readAnswer();
            record(answer, sentNanos, deadlineMillis);
            if (keepsConnection) {
                return connection;
            }
        } catch (SqlConnection.UnconnectedException e) {
            recorder.unconnected();
        } catch (SqlConnection.RefusedException e) {
            record(new SqlConnection.Answer(null, e.code), sentNanos, deadlineMillis);
        } catch (SocketTimeoutException | EOFException e) {
            recorder.lost(e.toString(), micros(sentNanos));
        } catch (IOException e) {
            if (kept == null || connection != kept) {
                recorder.lost(e.toString(), micros(sentNanos));
            }
            // Otherwise the statement met the end of a connection at rest, unread.
        }
        close(connection);
        return null;
    }

    private static void close(SqlConnection connection) throws IOException {
        if (connection != null) {
            connection.close();
        }
    }

    private static long micros(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sinceNanos);
    }

    private void record(SqlConnection.Answer answer, long sentNanos, int deadlineMillis) {
        long took = micros(sentNanos);
        recorder.answered(
                answer.code(),
                took,
                took > TimeUnit.MILLISECONDS.toMicros(deadlineMillis) + LATE_MICROS,
                took <= TimeUnit.MILLISECONDS.toMicros(deadlineMillis));
    }

    private String statement(Random random, int deadlineMillis) {
        long number = lastId.incrementAndGet();
        String id = "u" + seed + "-" + number;
        boolean write = random.nextInt(WRITE_ONE_IN) == 0;
        return (write
                        ? "INSERT INTO rows (handle, blob) VALUES ('" + id + "', '\\x9f') RETURNING blob"
                        : "SELECT blob FROM rows WHERE handle = '" + id + "'")
                + " /* id=" + id + ",c=" + (write ? "pickup-booking" : "own-order-view")
                + ",t=almaty-branch,d=" + deadlineMillis + ",cluster=" + number % RunScriptPooler.GROUPS + " */";
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(JOIN_MILLIS);
        }
    }
}
