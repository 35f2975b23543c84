/** Work that goes on after its caller was answered. */

/** Counts tasks, so that a planned stop can wait for them. */
export class BackgroundTasks {
  private readonly tasks = new Set<Promise<void>>();

  get size(): number {
    return this.tasks.size;
  }

  /** Follows a task; its errors go to `report`. */
  track(task: Promise<unknown>, report: (error: unknown) => void = () => undefined): void {
    const settled: Promise<void> = task.then(
      () => undefined,
      (error: unknown) => {
        report(error);
      },
    );
    this.tasks.add(settled);
    void settled.finally(() => this.tasks.delete(settled));
  }

  /** Resolves when there is no task left. */
  async idle(): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks);
  }
}
