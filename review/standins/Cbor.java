package standins;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of CBOR that the protocol uses: maps with text keys, lists, text, numbers, booleans, null. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n < 24) {
            out.write(m | (int) n);
        } else if (n < 256) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n < 65536) {
            out.write(m | 25);
            out.write((int) (n >> 8));
            out.write((int) n);
        } else if (n < (1L << 32)) {
            out.write(m | 26);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) n).array());
        } else {
            out.write(m | 27);
            out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
        }
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long n = ((Number) value).longValue();
            if (n >= 0) {
                head(out, 0, n);
            } else {
                head(out, 1, -1 - n);
            }
        } else if (value instanceof Double d) {
            out.write(0xfb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble(d).array());
        } else if (value instanceof String s) {
            byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, bytes.length);
            out.writeBytes(bytes);
        } else if (value instanceof Raw raw) {
            out.writeBytes(raw.bytes);
        } else if (value instanceof List<?> list) {
            head(out, 4, list.size());
            list.forEach(item -> write(out, item));
        } else if (value instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            map.forEach(
                    (k, v) -> {
                        write(out, k);
                        write(out, v);
                    });
        } else {
            throw new IllegalArgumentException(String.valueOf(value));
        }
    }

    /** A value that is encoded already. */
    record Raw(byte[] bytes) {}

    static Object decode(byte[] bytes) {
        return new Reader(bytes).read();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decodeMap(byte[] bytes) {
        try {
            return bytes == null || bytes.length == 0 ? null : (Map<String, Object>) decode(bytes);
        } catch (RuntimeException e) {
            return null;
        }
    }

    private static final class Reader {
        private static final Object BREAK = new Object();
        private final byte[] in;
        private int pos;

        Reader(byte[] in) {
            this.in = in;
        }

        private long arg(int info) {
            int bytes = info < 24 ? 0 : 1 << (info - 24);
            long n = info < 24 ? info : 0;
            for (int i = 0; i < bytes; i++) {
                n = n << 8 | in[pos++] & 0xff;
            }
            return n;
        }

        Object read() {
            int b = in[pos++] & 0xff;
            int major = b >> 5;
            int info = b & 31;
            boolean open = info == 31;
            switch (major) {
                case 0:
                    return arg(info);
                case 1:
                    return -1 - arg(info);
                case 2:
                case 3:
                    if (open) {
                        StringBuilder text = new StringBuilder();
                        for (Object part = read(); part != BREAK; part = read()) {
                            text.append(part);
                        }
                        return text.toString();
                    }
                    int length = (int) arg(info);
                    pos += length;
                    return new String(in, pos - length, length, StandardCharsets.UTF_8);
                case 4:
                    List<Object> list = new ArrayList<>();
                    long items = open ? Long.MAX_VALUE : arg(info);
                    for (long i = 0; i < items; i++) {
                        Object item = read();
                        if (item == BREAK) {
                            break;
                        }
                        list.add(item);
                    }
                    return list;
                case 5:
                    Map<String, Object> map = new LinkedHashMap<>();
                    long entries = open ? Long.MAX_VALUE : arg(info);
                    for (long i = 0; i < entries; i++) {
                        Object key = read();
                        if (key == BREAK) {
                            break;
                        }
                        map.put((String) key, read());
                    }
                    return map;
                case 6:
                    arg(info);
                    return read();
                default:
                    if (open) {
                        return BREAK;
                    }
                    if (info == 20 || info == 21) {
                        return info == 21;
                    }
                    if (info == 22 || info == 23) {
                        return null;
                    }
                    long bits = arg(info);
                    if (info == 27) {
                        return Double.longBitsToDouble(bits);
                    }
                    if (info == 26) {
                        return (double) Float.intBitsToFloat((int) bits);
                    }
                    throw new IllegalArgumentException("unsupported value " + b);
            }
        }
    }
}
