package lupinvalve.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import lupinvalve.simulator.SimulatorHost;

/** Runs routers for the simulator; its protocol runs over standard input and output. */
public final class WireHost implements Main.Command {
    private static final int BUFFER_BYTES = 1 << 16;

    @Override
    public int run() throws IOException {
        new SimulatorHost()
                .run(
                        new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER_BYTES),
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES));
        return 0;
    }
}
