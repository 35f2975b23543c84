/** Work that goes on after its caller was answered. */

/** Counts tasks, so that a planned stop can wait for them. */
export class Background {
  private readonly tasks = new Set<Promise<void>>();

  get size(): number {
    return this.tasks.size;
  }

  /** Follows a task; its errors go to `report`. */
  follow(task: Promise<unknown>, report: (error: unknown) => void = () => undefined): void {
    const followed: Promise<void> = task.then(
      () => undefined,
      (error: unknown) => {
        report(error);
      },
    );
    this.tasks.add(followed);
    void followed.finally(() => this.tasks.delete(followed));
  }

  /** Resolves when there is no task left. */
  async idle(): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks);
  }
}
