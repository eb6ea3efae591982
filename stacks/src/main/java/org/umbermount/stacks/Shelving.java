package org.umbermount.stacks;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A vault in one folder of the real disk. */
public final class Shelving implements Vault {
    private final Path folder;
    private final Map<String, FileChannel> open = new HashMap<>();

    public Shelving(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public void append(String name, long at, byte[] bytes) throws IOException {
        FileChannel channel = channel(name);
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        long position = at;
        while (buffer.hasRemaining()) {
            position += channel.write(buffer, position);
        }
        channel.force(false);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        FileChannel channel = channel(name);
        channel.truncate(length);
        channel.force(true);
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        Path fresh = folder.resolve(name + ".new");
        try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        FileChannel old = open.remove(name);
        if (old != null) {
            old.close();
        }
        Files.move(fresh, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        channel(name).force(true);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public void remove(String name) throws IOException {
        FileChannel old = open.remove(name);
        if (old != null) {
            old.close();
        }
        Files.deleteIfExists(folder.resolve(name));
    }

    private FileChannel channel(String name) throws IOException {
        FileChannel channel = open.get(name);
        if (channel == null) {
            channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            open.put(name, channel);
        }
        return channel;
    }
}
