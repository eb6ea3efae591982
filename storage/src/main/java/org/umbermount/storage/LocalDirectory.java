package org.umbermount.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A vault in one folder of the real disk. */
public final class LocalDirectory extends SyncedDirectory {
    public LocalDirectory(Path folder) throws IOException {
        super(new Folder(folder));
    }

    private static final class Folder implements Disk {
        private final Path path;
        private final Map<String, FileChannel> channels = new HashMap<>();

        Folder(Path path) throws IOException {
            this.path = path.toAbsolutePath();
            make(this.path);
        }

        /** A folder that is made is a name in the one above. */
        private static void make(Path folder) throws IOException {
            if (!Files.isDirectory(folder)) {
                make(folder.getParent());
                Files.createDirectories(folder);
                forceFolder(folder.getParent());
            }
        }

        private static void forceFolder(Path folder) throws IOException {
            try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
                directory.force(true);
            }
        }

        @Override
        public byte[] read(String name) throws IOException {
            Path file = path.resolve(name);
            return Files.exists(file) ? Files.readAllBytes(file) : null;
        }

        @Override
        public List<String> list() throws IOException {
            try (Stream<Path> files = Files.list(path)) {
                return files.map(f -> f.getFileName().toString()).sorted().toList();
            }
        }

        @Override
        public boolean open(String name) throws IOException {
            if (channels.containsKey(name)) {
                return false;
            }
            Path file = path.resolve(name);
            boolean made = !Files.exists(file);
            channels.put(name, FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE));
            return made;
        }

        @Override
        public void write(String name, long at, byte[] bytes) throws IOException {
            FileChannel channel = channels.get(name);
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            long position = at;
            while (buffer.hasRemaining()) {
                position += channel.write(buffer, position);
            }
        }

        @Override
        public void cut(String name, long length) throws IOException {
            channels.get(name).truncate(length);
        }

        @Override
        public void force(String name) throws IOException {
            channels.get(name).force(true);
        }

        @Override
        public void delete(String name) throws IOException {
            FileChannel channel = channels.remove(name);
            if (channel != null) {
                channel.close();
            }
            Files.deleteIfExists(path.resolve(name));
        }

        @Override
        public void forceFolder() throws IOException {
            forceFolder(path);
        }
    }
}
