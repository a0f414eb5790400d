package org.woadvale.common.config;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;

/** Deflates and inflates bytes; the size of the inflated bytes is limited. */
public final class Deflation {
    private static final int MAX_INFLATED_BYTES = 16 << 20;
    private static final int BUFFER_BYTES = 8 << 10;

    private Deflation() {}

    /** Returns the deflated bytes. */
    public static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /** Returns the inflated bytes; fails with BAD_REQUEST if the input is invalid or its inflated size is over the limit. */
    public static byte[] inflate(byte[] bytes) throws ServiceException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 || out.size() > MAX_INFLATED_BYTES) {
                    throw unreadable();
                }
                out.write(buffer, 0, length);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw unreadable();
        } finally {
            inflater.end();
        }
    }

    private static ServiceException unreadable() {
        return new InvalidRequestException("A deflated configuration cannot be read.");
    }
}
