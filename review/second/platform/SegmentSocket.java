/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.IOException;
import java.io.InputStream;
import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;

/**
 * A caller's connection with segments of 1,460 bytes, as over Ethernet, instead of the 64 KB of the
 * loopback interface, with which the system takes megabytes from the sender that nobody reads.
 * Blocking; for one platform thread.
 */
final class SegmentSocket implements AutoCloseable {
  private static final int AF_INET = 2;
  private static final int SOCK_STREAM = 1;
  private static final int SOL_SOCKET = 1;
  private static final int SO_RCVBUF = 8;
  private static final int SO_RCVTIMEO = 20;
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_MAXSEG = 2;
  private static final int MSG_NOSIGNAL = 0x4000;
  private static final int SEGMENT_BYTES = 1_460;

  private static final ValueLayout.OfInt I = ValueLayout.JAVA_INT;
  private static final ValueLayout.OfLong L = ValueLayout.JAVA_LONG;
  private static final MethodHandle SOCKET = find("socket", FunctionDescriptor.of(I, I, I, I));
  private static final MethodHandle OPTION =
      find("setsockopt", FunctionDescriptor.of(I, I, I, I, ValueLayout.ADDRESS, I));
  private static final MethodHandle CONNECT =
      find("connect", FunctionDescriptor.of(I, I, ValueLayout.ADDRESS, I));
  private static final MethodHandle RECV =
      find("recv", FunctionDescriptor.of(L, I, ValueLayout.ADDRESS, L, I));
  private static final MethodHandle SEND =
      find("send", FunctionDescriptor.of(L, I, ValueLayout.ADDRESS, L, I));
  private static final MethodHandle CLOSE = find("close", FunctionDescriptor.of(I, I));

  private final Arena arena = Arena.ofConfined();
  private final int fd;

  private static MethodHandle find(String name, FunctionDescriptor type) {
    Linker linker = Linker.nativeLinker();
    return linker.downcallHandle(linker.defaultLookup().findOrThrow(name), type);
  }

  /** Connects to a port of 127.0.0.1. */
  SegmentSocket(int port, int receiveBytes, int timeoutSeconds) throws IOException {
    try {
      fd = (int) SOCKET.invokeExact(AF_INET, SOCK_STREAM, 0);
      option(IPPROTO_TCP, TCP_MAXSEG, arena.allocateFrom(I, SEGMENT_BYTES));
      option(SOL_SOCKET, SO_RCVBUF, arena.allocateFrom(I, receiveBytes));
      option(SOL_SOCKET, SO_RCVTIMEO, arena.allocateFrom(L, timeoutSeconds, 0));
      MemorySegment address = arena.allocate(16, 8);
      address.set(ValueLayout.JAVA_SHORT, 0, (short) AF_INET);
      byte[] where = {(byte) (port >> 8), (byte) port, 127, 0, 0, 1};
      MemorySegment.copy(where, 0, address, ValueLayout.JAVA_BYTE, 2, where.length);
      if ((int) CONNECT.invokeExact(fd, address, 16) != 0) {
        throw new IOException("not connected");
      }
    } catch (IOException e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException(e);
    }
  }

  private void option(int level, int name, MemorySegment value) throws Throwable {
    int unused = (int) OPTION.invokeExact(fd, level, name, value, (int) value.byteSize());
  }

  void write(byte[] bytes) throws IOException {
    try {
      MemorySegment copy = arena.allocateFrom(ValueLayout.JAVA_BYTE, bytes);
      long n = (long) SEND.invokeExact(fd, copy, (long) bytes.length, MSG_NOSIGNAL);
      if (n != bytes.length) {
        throw new IOException("not sent");
      }
    } catch (IOException e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException(e);
    }
  }

  InputStream input() {
    MemorySegment buffer = arena.allocate(65_536);
    return new InputStream() {
      @Override
      public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
      }

      @Override
      public int read(byte[] to, int offset, int length) throws IOException {
        try {
          long wanted = Math.min(length, buffer.byteSize());
          long n = (long) RECV.invokeExact(fd, buffer, wanted, 0);
          if (n < 0) {
            throw new IOException("reset or timed out");
          }
          MemorySegment.copy(buffer, ValueLayout.JAVA_BYTE, 0, to, offset, (int) n);
          return n == 0 ? -1 : (int) n;
        } catch (IOException e) {
          throw e;
        } catch (Throwable e) {
          throw new IllegalStateException(e);
        }
      }
    };
  }

  @Override
  public void close() {
    try {
      int unused = (int) CLOSE.invokeExact(fd);
    } catch (Throwable e) {
      throw new IllegalStateException(e);
    }
    arena.close();
  }
}
