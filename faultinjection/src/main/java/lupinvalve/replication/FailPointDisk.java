package lupinvalve.replication;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;

/** One process's access to its disk; each call is a fail point. */
final class FailPointDisk implements Disk {
    /** The process that uses the disk. */
    interface Process {
        /** Whether the process has ended; from then on every call fails without reaching the disk. */
        boolean hasEnded();

        /** Ends the process because of an injected fault. */
        void end(Fault fault);
    }

    private interface Step<T> {
        T run() throws IOException;
    }

    private final Disk disk;
    private final Function<StepKind, Fault> nextFault;
    private final Process process;

    /** @param nextFault counts the next point and returns the fault to inject there, or null */
    FailPointDisk(Disk disk, Function<StepKind, Fault> nextFault, Process process) {
        this.disk = disk;
        this.nextFault = nextFault;
        this.process = process;
    }

    private static IOException processEnded() {
        return new IOException("this process has ended");
    }

    private <T> T step(StepKind kind, Step<T> step, Step<T> tornStep) throws IOException {
        if (process.hasEnded()) {
            throw processEnded();
        }
        Fault fault = nextFault.apply(kind);
        if (fault == null) {
            return step.run();
        }
        if (fault == Fault.FAIL) {
            throw new IOException("Input/output error");
        }
        if (fault == Fault.TORN) {
            tornStep.run();
        } else if (fault == Fault.DIE_AFTER) {
            step.run();
        }
        process.end(fault);
        throw processEnded();
    }

    private <T> T step(StepKind kind, Step<T> step) throws IOException {
        return step(kind, step, () -> null);
    }

    @Override
    public List<String> names() throws IOException {
        return step(StepKind.READ, disk::names);
    }

    @Override
    public byte[] read(String name) throws IOException {
        return step(StepKind.READ, () -> disk.read(name));
    }

    @Override
    public AppendFile create(String name) throws IOException {
        AppendFile file = step(StepKind.CREATE, () -> disk.create(name));
        return new AppendFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                step(StepKind.WRITE, () -> writeBytes(bytes), () -> writeBytes(Arrays.copyOf(bytes, bytes.length / 2)));
            }

            private Void writeBytes(byte[] bytes) throws IOException {
                file.write(bytes);
                return null;
            }

            @Override
            public void force() throws IOException {
                step(StepKind.FORCE, () -> {
                    file.force();
                    return null;
                });
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        step(StepKind.REPLACE, () -> {
            disk.replace(name, content);
            return null;
        });
    }

    @Override
    public void truncate(String name, long sizeBytes) throws IOException {
        step(StepKind.CUT, () -> {
            disk.truncate(name, sizeBytes);
            return null;
        });
    }

    @Override
    public void delete(String name) throws IOException {
        step(StepKind.DELETE, () -> {
            disk.delete(name);
            return null;
        });
    }

    @Override
    public void close() throws IOException {
        disk.close();
    }
}
