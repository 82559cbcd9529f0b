/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;

/**
 * A class loader that defines the project's classes separately from its parent; those with patched
 * sources are compiled in memory.
 *
 * <p>Safe for use by several threads once created.
 *
 * @since 0.1
 */
final class PatchedLoader extends ClassLoader {
  private static final String PROJECT_PREFIX = "org.larkkeel.";

  private final Map<String, ByteArrayOutputStream> patchedClasses = new HashMap<>();

  PatchedLoader(Map<String, String> sources) {
    super(PatchedLoader.class.getClassLoader());
    compile(sources);
  }

  @Override
  protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
    if (!name.startsWith(PROJECT_PREFIX)) {
      return super.loadClass(name, resolve);
    }
    synchronized (getClassLoadingLock(name)) {
      Class<?> known = findLoadedClass(name);
      return known != null ? known : define(name);
    }
  }

  private Class<?> define(String name) throws ClassNotFoundException {
    ByteArrayOutputStream patchedBytes = patchedClasses.get(name);
    byte[] bytes = patchedBytes != null ? patchedBytes.toByteArray() : read(name);
    return defineClass(name, bytes, 0, bytes.length);
  }

  private byte[] read(String name) throws ClassNotFoundException {
    String path = name.replace('.', '/') + ".class";
    try (InputStream in = getParent().getResourceAsStream(path)) {
      if (in == null) {
        throw new ClassNotFoundException(name);
      }
      return in.readAllBytes();
    } catch (IOException e) {
      throw new ClassNotFoundException(name, e);
    }
  }

  private void compile(Map<String, String> sources) {
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    List<Source> units =
        sources.entrySet().stream().map(e -> new Source(e.getKey(), e.getValue())).toList();
    JavaFileManager files =
        new MemoryFiles(compiler.getStandardFileManager(null, null, null), patchedClasses);
    List<String> options = List.of("-proc:none", "-nowarn");
    if (!compiler.getTask(null, files, null, options, null, units).call()) {
      throw new IllegalStateException("a patched source does not compile: " + sources.keySet());
    }
  }

  private static final class Source extends SimpleJavaFileObject {
    private final String text;

    Source(String file, String text) {
      super(URI.create("memory:///" + file), Kind.SOURCE);
      this.text = text;
    }

    @Override
    public CharSequence getCharContent(boolean ignoreEncodingErrors) {
      return text;
    }
  }

  private static final class MemoryFiles extends ForwardingJavaFileManager<JavaFileManager> {
    private final Map<String, ByteArrayOutputStream> classes;

    MemoryFiles(JavaFileManager standard, Map<String, ByteArrayOutputStream> classes) {
      super(standard);
      this.classes = classes;
    }

    @Override
    public JavaFileObject getJavaFileForOutput(
        Location location, String name, JavaFileObject.Kind kind, FileObject sibling) {
      return new SimpleJavaFileObject(URI.create("memory:///" + name), kind) {
        @Override
        public OutputStream openOutputStream() {
          ByteArrayOutputStream bytes = new ByteArrayOutputStream();
          classes.put(name, bytes);
          return bytes;
        }
      };
    }
  }
}
