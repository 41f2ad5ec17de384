package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;

/**
 * Polls the attributes of files every second on its own thread, and calls back once they have changed and are stable
 * again.
 */
final class FileWatch {
    private static final long POLL_INTERVAL_MILLIS = 1_000;
    private final List<Path> files;
    private final Runnable onChange;
    private final SettledChange settledChange;

    FileWatch(List<Path> files, Runnable onChange) {
        this.files = files;
        this.onChange = onChange;
        settledChange = new SettledChange(readStamps());
    }

    void start() {
        Thread thread = new Thread(this::watch, "configuration watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
                if (settledChange.settled(readStamps(), System.nanoTime() / 1_000)) {
                    onChange.run();
                }
            }
        } catch (InterruptedException e) {
            // The thread is interrupted only to end it.
            Thread.currentThread().interrupt();
        }
    }

    private List<SettledChange.FileStamp> readStamps() {
        return files.stream().map(FileWatch::readStamp).toList();
    }

    private static SettledChange.FileStamp readStamp(Path file) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new SettledChange.FileStamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException e) {
            return SettledChange.FileStamp.ABSENT;
        }
    }
}
