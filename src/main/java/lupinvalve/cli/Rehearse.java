package lupinvalve.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lupinvalve.Routing;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;
import lupinvalve.rehearsal.StandIns;

/**
 * Plays a moment of service on loopback, from start to drain, so that the JVM that runs it has met every class of the
 * request path. The build runs it with {@code -XX:ArchiveClassesAtExit}: what the JVM then writes down spares each start
 * reading and checking those classes again.
 */
public final class Rehearse extends Files implements Main.Command {
    private static final int REQUESTS = 200;

    @Override
    public int run() throws Exception {
        NodeConfig config = node(OperatorConfig.NONE);
        int served = 0;
        try (StandIns standIns = new StandIns()) {
            Daemon daemon = new Daemon(new NodeConfig(config.name(), "127.0.0.1:0", standIns.discovery(), config.seed(),
                    config.memoryMb(), config.sockets(), config.known(), config.site()), OperatorConfig.NONE);
            daemon.start();
            try (Socket client = new Socket(daemon.address().getAddress(), daemon.address().getPort())) {
                served = ask(client, config.site().settings().classes());
            }
            CountDownLatch drained = new CountDownLatch(1);
            daemon.drain(drained::countDown);
            drained.await();
            daemon.stop();
        }
        Log.info("rehearsed: %d of %d requests served", served, REQUESTS);
        return served == REQUESTS ? 0 : 1;
    }

    private static int ask(Socket client, List<Routing.RequestClass> classes) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(8 + names.length);
        out.writeInt(3 << 16);
        out.write(names);
        client.getOutputStream().write(bytes.toByteArray());
        served(in);
        int count = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Routing.RequestClass kind = classes.get(i % classes.size());
            String head = kind.access() == Routing.Access.WRITE
                    ? "INSERT INTO rows (handle, blob) VALUES ('k" + i % 20 + "', '\\x9f') RETURNING blob"
                    : "SELECT blob FROM rows WHERE handle = 'k" + i % 20 + "'";
            byte[] text = (head + " /* id=" + i + ",c=" + kind.name() + ",t=a,d=" + kind.deadlineMicros() / 1000
                    + ",cluster=1 */\0").getBytes(UTF_8);
            bytes.reset();
            out.write('Q');
            out.writeInt(4 + text.length);
            out.write(text);
            client.getOutputStream().write(bytes.toByteArray());
            count += served(in) ? 1 : 0;
        }
        return count;
    }

    /** Reads up to ReadyForQuery; whether there was a row. */
    private static boolean served(DataInputStream in) throws IOException {
        boolean row = false;
        while (true) {
            int type = in.readUnsignedByte();
            in.skipNBytes(in.readInt() - 4);
            row |= type == 'D';
            if (type == 'Z') {
                return row;
            }
        }
    }
}
