package lupinvalve.cli;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.net.Addresses;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Sends a command to a running pooler's admin interface and prints the answer; the exit code is 0 if the answer is ok.
 */
public final class Call implements Main.Command {
    /** Timeout of the connection and of the answer; the admin interface answers within one second. */
    private static final int TIMEOUT_MILLIS = 3_000;

    @Option(
            name = "--to",
            metaVar = "ADDRESS",
            usage = "address of the admin interface; default: the environment variable NODE_OPERATOR")
    private String address = System.getenv("NODE_OPERATOR");

    @Argument(required = true, multiValued = true, metaVar = "CALL", usage = "health, counters, cordon ID, ...")
    private List<String> commandWords = new ArrayList<>();

    @Override
    public int run() throws IOException {
        if (address == null || address.isEmpty()) {
            throw new IllegalArgumentException("no --to and no NODE_OPERATOR");
        }
        return call(Addresses.parse(address), String.join(" ", commandWords), System.out);
    }

    static int call(InetSocketAddress adminAddress, String line, PrintStream out) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.connect(adminAddress, TIMEOUT_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), US_ASCII);
            out.print(answer);
            return answer.startsWith("ok") ? 0 : 1;
        }
    }
}
