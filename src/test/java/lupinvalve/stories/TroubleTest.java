package lupinvalve.stories;

import static lupinvalve.stories.PlatformTest.calm;
import static lupinvalve.stories.PlatformTest.end;
import static lupinvalve.stories.PlatformTest.messages;
import static lupinvalve.stories.PlatformTest.read;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.sql.Connection;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/** Days with trouble: clients, db nodes and discovery that do what they should not. */
class TroubleTest {
    @Test
    void connections_that_rest_make_room_for_new_ones() throws Exception {
        // 64 sockets are the least it plans with; each of these asks once and stays for good.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> staying = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                World.await("served", () -> {
                    try {
                        Socket socket = world.raw("");
                        staying.add(socket);
                        messages(socket, 'Z', 1);
                        return messages(socket, 'Z', 1).contains("I");
                    } catch (IOException e) {
                        return false;
                    }
                });
            }
            for (Socket socket : staying) {
                socket.close();
            }
        }
    }

    @Test
    void silent_connections_give_way_and_end_within_three_seconds() throws Exception {
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket("127.0.0.1", world.daemon.address().getPort()));
            }
            try (Connection client = world.pg()) {
                assertEquals("value", end(client, read("s1", 900)));
            }
            long start = System.nanoTime();
            for (Socket socket : silent) {
                socket.setSoTimeout(10_000);
                assertEquals(-1, socket.getInputStream().read());
                socket.close();
            }
            assertTrue(System.nanoTime() - start < 3_000_000_000L);
        }
    }
}
