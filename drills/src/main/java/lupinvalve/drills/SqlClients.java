package lupinvalve.drills;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of all poolers, with one session each, that send statements by their habits and record how each ended. */
final class SqlClients {
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int SLACK_MILLIS = 500;
    private static final int PROBE_TIMEOUT_MILLIS = 1_000;
    /** Rest before a client connects again: short, so that a pooler that starts gets all its clients back at once. */
    private static final long RECONNECT_MILLIS = 3;
    /** Rest after a refusal: clients that retry at once would take up the machine's processors. */
    private static final long AFTER_REFUSAL_MILLIS = 100;

    private static final int WRITE_ONE_IN = 4;
    private static final String SQLSTATE_TOO_MANY_CONNECTIONS = "53300";
    private static final String SQLSTATE_CANNOT_CONNECT_NOW = "57P03";
    private final RequestChecker requestChecker;
    private final Timing timing;
    private final int groups;
    private final AtomicLong requestCount = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    SqlClients(RequestChecker requestChecker, Timing timing, int groups) {
        this.requestChecker = requestChecker;
        this.timing = timing;
        this.groups = groups;
    }

    /** Starts this many clients of a pooler. */
    void start(String pooler, int port, ClientHabits.Kind kind, int count, long seed) {
        for (int i = 0; i < count; i++) {
            ClientHabits habits = new ClientHabits(kind, new Random(seed * 31 + i));
            threads.add(Threads.start("client of " + pooler, () -> {
                while (!over) {
                    long pauseMillis = habits.readingPauseMillis();
                    try (SqlConnection connection =
                            new SqlConnection(port, DEADLINE_MILLIS + SLACK_MILLIS, pauseMillis > 0)) {
                        connection.setReadingPause(pauseMillis);
                        new Session(connection, pooler, habits).run();
                    } catch (IOException e) {
                        Thread.sleep(RECONNECT_MILLIS);
                    }
                }
            }));
        }
    }

    /** Whether a pooler accepts a client's connection and login. */
    static boolean acceptsClients(int port) {
        try {
            new SqlConnection(port, PROBE_TIMEOUT_MILLIS, false).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** One statement, and what its answer is checked against. */
    private record Request(
            String id, String text, boolean write, boolean readsOwnWrites, long minPosition, int longValueBytes) {}

    /** One connection of a client. */
    private final class Session {
        private final SqlConnection connection;
        private final String pooler;
        private final ClientHabits habits;
        private final int group;
        private long lastWritePosition;

        Session(SqlConnection connection, String pooler, ClientHabits habits) {
            this.connection = connection;
            this.pooler = pooler;
            this.habits = habits;
            group = habits.random().nextInt(groups);
        }

        void run() throws IOException, InterruptedException {
            while (!over) {
                boolean refused = runTurn();
                Thread.sleep(Math.max(habits.restMillis(), refused ? AFTER_REFUSAL_MILLIS : 0));
            }
        }

        /** Sends one batch of statements and reads the answers; returns whether any was refused. */
        private boolean runTurn() throws IOException, InterruptedException {
            if (connection.hasEnded()) {
                throw new EOFException();
            }
            List<Request> requests = new ArrayList<>();
            for (int count = habits.statementsAtOnce(); count > 0; count--) {
                requests.add(nextRequest(requests.isEmpty()));
            }
            requests.forEach(
                    request -> requestChecker.sent(request.id, pooler, request.write, System.currentTimeMillis()));
            int answered = 0;
            boolean refused = false;
            RequestChecker.Ending endingOfRest = RequestChecker.Ending.NOT_TAKEN;
            try {
                connection.send(requests.stream().map(Request::text).toList());
                // An end of the connection that has arrived right after the write may have arrived before it; answers
                // that came before that end still count.
                if (!connection.hasEnded()) {
                    endingOfRest = RequestChecker.Ending.ENDED;
                    int leaveAfterMillis = habits.leavesAfterMillis();
                    if (leaveAfterMillis >= 0) {
                        endingOfRest = RequestChecker.Ending.LEFT;
                        leave(requests, leaveAfterMillis);
                    }
                }
                for (; answered < requests.size(); answered++) {
                    Request request = requests.get(answered);
                    RequestChecker.Ending ending = judge(request, connection.readAnswer());
                    refused |= ending == RequestChecker.Ending.REFUSED;
                    requestChecker.ended(request.id, ending, System.currentTimeMillis());
                }
                return refused;
            } catch (SocketTimeoutException e) {
                endingOfRest = RequestChecker.Ending.SILENT;
                throw e;
            } catch (EOFException e) {
                throw e;
            } catch (IOException e) {
                endingOfRest = endingOfRest == RequestChecker.Ending.ENDED ? RequestChecker.Ending.RESET : endingOfRest;
                throw e;
            } finally {
                for (Request request : requests.subList(answered, requests.size())) {
                    requestChecker.ended(request.id, endingOfRest, System.currentTimeMillis());
                }
            }
        }

        private void leave(List<Request> requests, int afterMillis) throws IOException, InterruptedException {
            Thread.sleep(afterMillis);
            connection.leave(habits.random().nextBoolean());
            requests.forEach(request -> timing.clientLeft(request.id, System.currentTimeMillis()));
            throw new EOFException();
        }

        /**
         * @param mayBeLong whether the statement may request a long value. Only one of a batch may: a client that reads
         *     a batch of long values for seconds would delay the pooler's shutdown until SIGKILL.
         */
        private Request nextRequest(boolean mayBeLong) {
            String id = "q" + requestCount.incrementAndGet();
            boolean write = habits.random().nextInt(WRITE_ONE_IN) == 0;
            boolean readsOwnWrites = !write && habits.random().nextBoolean();
            int longValueBytes = write || !mayBeLong ? 0 : habits.longValueBytes();
            long token = readsOwnWrites ? lastWritePosition : 0;
            String key = longValueBytes > 0 ? LongValues.key(longValueBytes) : "s" + group;
            String text = (write
                            ? "INSERT INTO rows (handle, blob) VALUES ('" + key + "', '\\x9f') RETURNING blob"
                            : "SELECT blob FROM rows WHERE handle = '" + key + "'")
                    + " /* id=" + id + ",c="
                    + (write ? "pickup-booking" : readsOwnWrites ? "own-order-view" : "bag-status")
                    + ",t=almaty-branch,d="
                    + DEADLINE_MILLIS
                    + ",cluster=" + group + (token > 0 ? ",after=" + token : "") + " */";
            return new Request(id, text, write, readsOwnWrites, token, longValueBytes);
        }

        private RequestChecker.Ending judge(Request request, SqlConnection.Answer answer) {
            if (answer.code() != null || answer.value() == null) {
                boolean refused = SQLSTATE_TOO_MANY_CONNECTIONS.equals(answer.code())
                        || SQLSTATE_CANNOT_CONNECT_NOW.equals(answer.code());
                return refused ? RequestChecker.Ending.REFUSED : RequestChecker.Ending.FAILED;
            }
            long position = LongValues.position(answer.value());
            if (request.write) {
                lastWritePosition = Math.max(lastWritePosition, position);
            } else if (request.readsOwnWrites && position < request.minPosition) {
                requestChecker.stale(request.id, request.minPosition, position);
            }
            if (request.longValueBytes > 0 && !LongValues.isWhole(answer.value(), request.longValueBytes)) {
                requestChecker.valueMismatch(request.id, answer.value().length());
            }
            return RequestChecker.Ending.SERVED;
        }
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(DEADLINE_MILLIS + 2 * SLACK_MILLIS);
        }
    }
}
