package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a process that goes on, or drains for good, after one of its threads has ended with an error. */
class ThreadFailureHandlerTest {
    private final List<String> ends = new CopyOnWriteArrayList<>();
    private final CountDownLatch halted = new CountDownLatch(1);
    private final ThreadFailureHandler handler = new ThreadFailureHandler(code -> ends.add("exit " + code), code -> {
        ends.add("halt " + code);
        halted.countDown();
    });

    @Test
    void theEndOfTheCoreThreadEndsTheProcessAtOnce() {
        handler.uncaughtException(new Thread(null, null, "core"), new OutOfMemoryError("planted"));
        assertEquals(List.of("halt 70"), ends);
    }

    @Test
    void theEndOfAnyOtherThreadDrainsForALimitedTime() throws Exception {
        handler.uncaughtException(new Thread(null, null, "admin"), new OutOfMemoryError("planted"));
        assertTrue(halted.await(10, TimeUnit.SECONDS));
        assertEquals(List.of("exit 70", "halt 70"), ends);
    }

    @Test
    void anErrorInTheHandlerItselfEndsTheProcessAtOnce() {
        Throwable unprintable = new Error() {
            @Override
            public StackTraceElement[] getStackTrace() {
                throw new OutOfMemoryError("planted");
            }
        };
        handler.uncaughtException(new Thread(null, null, "admin"), unprintable);
        assertEquals(List.of("halt 70"), ends);
    }
}
