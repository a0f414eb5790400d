package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the seconds since the beginning, in record.txt of the case's folder. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long begun = System.nanoTime();

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    double seconds() {
        return (System.nanoTime() - begun) / 1e9;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
