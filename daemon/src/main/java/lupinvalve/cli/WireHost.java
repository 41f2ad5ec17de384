package lupinvalve.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import lupinvalve.simulator.SimulatorHost;

/** Hosts routers on the simulator's wire, on standard input and output. */
public final class WireHost implements Main.Command {
    @Override
    public int run() throws IOException {
        new SimulatorHost()
                .run(
                        new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16));
        return 0;
    }
}
